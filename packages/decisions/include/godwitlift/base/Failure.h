/// \file
/// The typed error that travels through boost::leaf::result.
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

/// One fault of an input, named by its JSON path, such as `routes[2].deadline_ms`.
struct InputFault
{
    std::string path;
    std::string problem;

    friend bool operator==(const InputFault &, const InputFault &) = default;
};

/// Error object for rejected inputs: every fault that was found, not only the first.
struct InputError
{
    std::vector<InputFault> faults;

    /// All faults in one line, separated by "; ".
    std::string line() const;
};

/// Outcome of a check: the value, or the faults that speak against it.
template<typename T>
struct Checked
{
    T value;
    std::vector<InputFault> faults;

    bool isValid() const { return faults.empty(); }
};

/// Makes a LEAF error that carries one fault.
inline boost::leaf::error_id inputFailure(std::string path, std::string problem)
{
    return boost::leaf::new_error(InputError{ { { std::move(path), std::move(problem) } } });
}

/// Runs \p attempt and returns its value, or stores the error line in \p error.
template<typename Attempt>
auto valueOr(Attempt &&attempt, std::string &error)
{
    using Value = std::decay_t<decltype(attempt().value())>;
    return boost::leaf::try_handle_all(
            [&]() -> Result<std::optional<Value>> {
                auto outcome = attempt();
                if (!outcome)
                    return outcome.error();
                return std::optional<Value>(std::move(outcome.value()));
            },
            [&](const InputError &problem) -> std::optional<Value> {
                error = problem.line();
                return std::nullopt;
            },
            [&]() -> std::optional<Value> {
                error = "unexpected error";
                return std::nullopt;
            });
}

} // namespace godwitlift
