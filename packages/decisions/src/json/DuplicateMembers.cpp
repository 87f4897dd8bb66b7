/// \file
/// Follows the path of the parser and the names that each open object has.
#include "godwitlift/json/DuplicateMembers.h"

#include <absl/strings/str_cat.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <set>
#include <string>

namespace godwitlift {

namespace {

using nlohmann::json;

/// Parts of a path that form the place, and parts that may be named at all.
constexpr std::size_t PlaceParts = 2;
constexpr std::size_t NamedParts = 4;

class DuplicateFinder final
{
public:
    void onEvent(json::parse_event_t event, const json &parsed)
    {
        switch (event) {
        case json::parse_event_t::object_start:
        case json::parse_event_t::array_start:
            m_open.push_back({ event == json::parse_event_t::array_start, 0, {}, {} });
            break;
        case json::parse_event_t::key:
            onKey(parsed.get_ref<const std::string &>());
            break;
        case json::parse_event_t::object_end:
        case json::parse_event_t::array_end:
            m_open.pop_back();
            onValue();
            break;
        case json::parse_event_t::value:
            onValue();
            break;
        }
    }

    std::vector<InputFault> faults;

private:
    /// An object or array that has not ended.
    struct Open
    {
        bool isArray = false;
        std::size_t index = 0;       ///< Of the present value in an array.
        std::string key;             ///< Of the present value in an object.
        std::set<std::string> names; ///< Of the object's members so far.
    };

    void onKey(const std::string &key)
    {
        Open &object = m_open.back();
        object.key = key;
        if (object.names.insert(key).second)
            return;
        const std::size_t last = std::min(m_open.size(), NamedParts);
        const char *what =
                m_open.size() > NamedParts ? "has a member within '" : "has the member '";
        faults.push_back({ path(0, std::min(PlaceParts, last - 1)),
                           absl::StrCat(what, path(std::min(PlaceParts, last - 1), last),
                                        "' twice; the last one is used") });
    }

    void onValue()
    {
        if (!m_open.empty() && m_open.back().isArray)
            ++m_open.back().index;
    }

    std::string path(std::size_t begin, std::size_t end) const
    {
        std::string text;
        for (std::size_t i = begin; i < end; ++i) {
            if (m_open[i].isArray)
                absl::StrAppend(&text, "[", m_open[i].index, "]");
            else
                absl::StrAppend(&text, text.empty() ? "" : ".", m_open[i].key);
        }
        return text;
    }

    std::vector<Open> m_open;
};

} // namespace

std::vector<InputFault> findDuplicateMembers(std::string_view text)
{
    DuplicateFinder finder;
    const json document = json::parse(
            text,
            [&finder](int, json::parse_event_t event, json &parsed) {
                finder.onEvent(event, parsed);
                return true;
            },
            false);
    if (document.is_discarded())
        return {};
    return std::move(finder.faults);
}

} // namespace godwitlift
