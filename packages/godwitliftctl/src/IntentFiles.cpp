/// \file
/// Reading and merging intent files.
#include "IntentFiles.h"

#include "godwitlift/configuration/ConfigurationCodec.h"

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <optional>

namespace godwitlift {

namespace {

namespace fs = std::filesystem;

std::optional<std::string> readText(const std::string &path)
{
    std::ifstream file(path);
    if (!file)
        return std::nullopt;
    return std::string{ std::istreambuf_iterator<char>(file), {} };
}

template<typename Map>
void mergeObjects(const Map &from, Map &into, const std::string &path,
                  std::vector<InputFault> &faults)
{
    for (const auto &[id, object] : from) {
        if (!into.emplace(id, object).second)
            faults.push_back({ path, id.value() + " is declared in another file too" });
    }
}

std::vector<std::string> intentFiles(const std::string &directory)
{
    std::vector<std::string> paths;
    std::error_code problem;
    for (const auto &entry : fs::recursive_directory_iterator(directory, problem)) {
        if (entry.is_regular_file() && entry.path().extension() == ".json")
            paths.push_back(entry.path().string());
    }
    std::sort(paths.begin(), paths.end());
    return paths;
}

/// Decodes \p path with \p decode and names the file in every fault.
template<typename Decode>
auto decodeFile(const std::string &path, Decode decode) -> decltype(decode(std::string()))
{
    const auto text = readText(path);
    if (!text)
        return makeInputError(path, "cannot be read");
    std::string problem;
    auto value = valueOrErrorText([&] { return decode(*text); }, problem);
    if (!value)
        return makeInputError(path, problem);
    return std::move(*value);
}

} // namespace

Result<ConfigurationDelta> readIntentFile(const std::string &path)
{
    return decodeFile(path, [](const std::string &text) { return decodeDelta(text); });
}

Result<Configuration> readIntentDirectory(const std::string &directory)
{
    const std::vector<std::string> paths = intentFiles(directory);
    if (paths.empty())
        return makeInputError(directory, "holds no .json file");
    Configuration whole;
    std::vector<InputFault> faults;
    for (const std::string &path : paths) {
        BOOST_LEAF_AUTO(part, decodeFile(path, [](const std::string &text) {
                            return decodeConfiguration(text);
                        }));
        mergeObjects(part.ranks, whole.ranks, path, faults);
        mergeObjects(part.services, whole.services, path, faults);
        mergeObjects(part.routes, whole.routes, path, faults);
    }
    for (InputFault &fault : whole.validate())
        faults.push_back(std::move(fault));
    if (!faults.empty())
        return boost::leaf::new_error(InputError{ std::move(faults) });
    return whole;
}

} // namespace godwitlift
