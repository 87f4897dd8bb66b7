/// \file
/// Validating reader for JSON objects.
#include "godwitlift/json/ObjectReader.h"

#include <absl/strings/ascii.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>

#include <algorithm>

namespace godwitlift {

namespace {

constexpr int MaxNestingDepth = 32;
constexpr std::size_t MaxIdentifierLength = 64;

bool exceedsMaxNestingDepth(std::string_view text)
{
    int depth = 0;
    bool isInString = false;
    for (std::size_t i = 0; i < text.size(); ++i) {
        const char c = text[i];
        if (isInString) {
            if (c == '\\')
                ++i;
            else if (c == '"')
                isInString = false;
            continue;
        }
        if (c == '"')
            isInString = true;
        else if (c == '{' || c == '[')
            ++depth;
        else if (c == '}' || c == ']')
            --depth;
        if (depth > MaxNestingDepth)
            return true;
    }
    return false;
}

} // namespace

ObjectReader::ObjectReader(const nlohmann::json &object, std::string path,
                           std::vector<InputFault> &faults)
    : m_object(object)
    , m_path(std::move(path))
    , m_faults(faults)
{
    if (!m_object.is_object())
        m_faults.push_back({ m_path, "expected an object" });
}

std::string ObjectReader::pathOf(std::string_view key) const
{
    return m_path.empty() ? std::string(key) : m_path + "." + std::string(key);
}

void ObjectReader::addFault(std::string_view key, std::string problem)
{
    m_faults.push_back({ pathOf(key), std::move(problem) });
}

bool ObjectReader::has(std::string_view key) const
{
    return m_object.is_object() && m_object.contains(std::string(key));
}

const nlohmann::json *ObjectReader::member(std::string_view key)
{
    m_readKeys.emplace(key);
    if (!m_object.is_object())
        return nullptr;
    const auto it = m_object.find(std::string(key));
    return it == m_object.end() ? nullptr : &*it;
}

std::string ObjectReader::requiredText(std::string_view key)
{
    if (member(key) == nullptr) {
        addFault(key, "missing");
        return {};
    }
    return textOr(key, {});
}

std::string ObjectReader::textOr(std::string_view key, std::string fallback)
{
    const nlohmann::json *value = member(key);
    if (value == nullptr)
        return fallback;
    if (!value->is_string() || value->get_ref<const std::string &>().empty()) {
        addFault(key, "expected a non-empty string");
        return fallback;
    }
    return value->get<std::string>();
}

double ObjectReader::number(std::string_view key, double low, double high, double fallback)
{
    const nlohmann::json *value = member(key);
    if (value == nullptr)
        return fallback;
    if (!value->is_number()) {
        addFault(key, "expected a number");
        return fallback;
    }
    const double read = value->get<double>();
    if (!(read >= low && read <= high)) {
        addFault(key, absl::StrCat("expected ", low, " to ", high, ", found ", read));
        return fallback;
    }
    return read;
}

std::uint64_t ObjectReader::integer(std::string_view key, std::uint64_t low, std::uint64_t high,
                                    std::uint64_t fallback)
{
    const nlohmann::json *value = member(key);
    if (value == nullptr)
        return fallback;
    if (!value->is_number_unsigned()) {
        addFault(key, "expected a non-negative integer");
        return fallback;
    }
    const auto read = value->get<std::uint64_t>();
    if (read < low || read > high) {
        addFault(key, absl::StrCat("expected ", low, " to ", high, ", found ", read));
        return fallback;
    }
    return read;
}

std::uint64_t ObjectReader::requiredInteger(std::string_view key, std::uint64_t low,
                                            std::uint64_t high)
{
    if (member(key) == nullptr)
        addFault(key, "missing");
    return integer(key, low, high, low);
}

bool ObjectReader::flag(std::string_view key, bool fallback)
{
    const nlohmann::json *value = member(key);
    if (value == nullptr)
        return fallback;
    if (!value->is_boolean()) {
        addFault(key, "expected true or false");
        return fallback;
    }
    return value->get<bool>();
}

absl::Duration ObjectReader::milliseconds(std::string_view key, absl::Duration low,
                                          absl::Duration high, absl::Duration fallback)
{
    const auto count = integer(key, static_cast<std::uint64_t>(absl::ToInt64Milliseconds(low)),
                               static_cast<std::uint64_t>(absl::ToInt64Milliseconds(high)),
                               static_cast<std::uint64_t>(absl::ToInt64Milliseconds(fallback)));
    return absl::Milliseconds(static_cast<std::int64_t>(count));
}

std::string ObjectReader::choice(std::string_view key, const std::vector<std::string> &choices)
{
    std::string read = textOr(key, choices.front());
    if (std::find(choices.begin(), choices.end(), read) == choices.end()) {
        addFault(key, absl::StrCat("expected one of ", absl::StrJoin(choices, ", ")));
        return choices.front();
    }
    return read;
}

std::vector<std::string> ObjectReader::texts(std::string_view key)
{
    std::vector<std::string> read;
    const nlohmann::json *value = member(key);
    if (value == nullptr)
        return read;
    if (!value->is_array()) {
        addFault(key, "expected an array of strings");
        return read;
    }
    for (std::size_t i = 0; i < value->size(); ++i) {
        const nlohmann::json &entry = (*value)[i];
        if (entry.is_string() && !entry.get_ref<const std::string &>().empty())
            read.push_back(entry.get<std::string>());
        else
            addFault(absl::StrCat(std::string(key), "[", i, "]"), "expected a non-empty string");
    }
    return read;
}

const nlohmann::json *ObjectReader::object(std::string_view key)
{
    const nlohmann::json *value = member(key);
    if (value == nullptr)
        return nullptr;
    if (!value->is_object()) {
        addFault(key, "expected an object");
        return nullptr;
    }
    return value;
}

void ObjectReader::reportUnknownKeys()
{
    if (!m_object.is_object())
        return;
    for (const auto &entry : m_object.items()) {
        if (!m_readKeys.contains(entry.key()))
            addFault(entry.key(), "unknown key");
    }
}

Result<nlohmann::json> parseJson(std::string_view text)
{
    if (exceedsMaxNestingDepth(text))
        return makeInputError("", absl::StrCat("nested deeper than ", MaxNestingDepth, " levels"));
    try {
        return nlohmann::json::parse(text);
    } catch (const nlohmann::json::parse_error &error) {
        return makeInputError("", absl::StrCat("not JSON, parsing stopped at byte ", error.byte));
    }
}

bool isIdentifier(std::string_view text)
{
    if (text.empty() || text.size() > MaxIdentifierLength || !absl::ascii_isalnum(text.front()))
        return false;
    return std::all_of(text.begin(), text.end(), [](char c) {
        return absl::ascii_isalnum(c) || c == '.' || c == '_' || c == '-';
    });
}

} // namespace godwitlift
