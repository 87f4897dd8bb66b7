/// \file
/// Reads and merges intent files.
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

std::optional<std::string> readFile(const std::string &path)
{
    std::ifstream file(path);
    if (!file)
        return std::nullopt;
    return std::string{ std::istreambuf_iterator<char>(file), {} };
}

template<typename Map>
void mergeObjects(const Map &source, Map &target, const std::string &path,
                  std::vector<InputFault> &faults)
{
    for (const auto &[id, object] : source) {
        if (!target.emplace(id, object).second)
            faults.push_back({ path, id.value() + " is also declared in another file" });
    }
}

std::vector<std::string> findIntentFiles(const std::string &directory)
{
    std::vector<std::string> paths;
    std::error_code listingError;
    for (const auto &entry : fs::recursive_directory_iterator(directory, listingError)) {
        if (entry.is_regular_file() && entry.path().extension() == ".json")
            paths.push_back(entry.path().string());
    }
    std::sort(paths.begin(), paths.end());
    return paths;
}

/// Decodes the file at \p path with \p decode. Every error names the path.
template<typename Decode>
auto decodeFile(const std::string &path, Decode decode) -> decltype(decode(std::string()))
{
    const auto text = readFile(path);
    if (!text)
        return makeInputError(path, "cannot be read");
    std::string errorText;
    auto value = valueOrErrorText([&] { return decode(*text); }, errorText);
    if (!value)
        return makeInputError(path, errorText);
    return std::move(*value);
}

} // namespace

Result<ConfigurationDelta> readIntentFile(const std::string &path)
{
    return decodeFile(path, [](const std::string &text) { return decodeDelta(text); });
}

Result<Configuration> readIntentDirectory(const std::string &directory)
{
    const std::vector<std::string> paths = findIntentFiles(directory);
    if (paths.empty())
        return makeInputError(directory, "contains no .json file");
    Configuration merged;
    std::vector<InputFault> faults;
    for (const std::string &path : paths) {
        BOOST_LEAF_AUTO(fileContent, decodeFile(path, [](const std::string &text) {
                            return decodeConfiguration(text);
                        }));
        mergeObjects(fileContent.ranks, merged.ranks, path, faults);
        mergeObjects(fileContent.services, merged.services, path, faults);
        mergeObjects(fileContent.routes, merged.routes, path, faults);
    }
    for (InputFault &fault : merged.validate())
        faults.push_back(std::move(fault));
    if (!faults.empty())
        return boost::leaf::new_error(InputError{ std::move(faults) });
    return merged;
}

} // namespace godwitlift
