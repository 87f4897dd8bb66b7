/// \file
/// Error types for rejected input, carried by boost::leaf::result.
#pragma once

#include <boost/leaf/config.hpp>
#include <boost/leaf/error.hpp>
#include <boost/leaf/handle_errors.hpp>
#include <boost/leaf/result.hpp>

#include <optional>
#include <string>
#include <type_traits>
#include <utility>
#include <vector>

namespace godwitlift {

template<typename T>
using Result = boost::leaf::result<T>;

/// One fault in an input and its JSON path, such as `routes[2].deadline_ms`.
struct InputFault
{
    std::string path;
    std::string problem;

    friend bool operator==(const InputFault &, const InputFault &) = default;
};

/// Error object for a rejected input. Contains every fault that was found, not only the first.
struct InputError
{
    std::vector<InputFault> faults;

    /// All faults in one line, separated by "; ".
    std::string message() const;
};

/// A validated value together with the faults that validation found.
template<typename T>
struct Validated
{
    T value;
    std::vector<InputFault> faults;

    bool isValid() const { return faults.empty(); }
};

/// Creates a LEAF error with a single fault.
inline boost::leaf::error_id makeInputError(std::string path, std::string problem)
{
    return boost::leaf::new_error(InputError{ { { std::move(path), std::move(problem) } } });
}

/// Calls \p function and returns its value. On failure, returns no value and stores the error
/// message in \p error.
template<typename Function>
auto valueOrErrorText(Function &&function, std::string &error)
{
    using Value = std::decay_t<decltype(function().value())>;
    return boost::leaf::try_handle_all(
            [&]() -> Result<std::optional<Value>> {
                auto outcome = function();
                if (!outcome)
                    return outcome.error();
                return std::optional<Value>(std::move(outcome.value()));
            },
            [&](const InputError &problem) -> std::optional<Value> {
                error = problem.message();
                return std::nullopt;
            },
            [&]() -> std::optional<Value> {
                error = "unexpected error";
                return std::nullopt;
            });
}

} // namespace godwitlift
