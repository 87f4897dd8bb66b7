/// \file
/// The subcommands of godwitliftctl.
#pragma once

#include "ApiClient.h"
#include "Printer.h"

#include <absl/time/time.h>

#include <optional>
#include <string>
#include <vector>

namespace godwitlift {

/// Exit codes of the program, documented in its help.
enum class ExitCode : int {
    Ok = 0,
    /// The request failed, for example because the node or the platform did not answer; its outcome
    /// is unknown; the prompt was declined; or no log line was found.
    Failed = 1,
    InvalidInput = 2,   ///< For review also: errors were found.
    ReviewWarnings = 1, ///< For review: only warnings were found.
    Conflict = 3,       ///< The plan conflicts with another operator's change.
    NotInForce = 4      ///< Published, but not in force on every host before the timeout.
};

/// Options of the confirm command.
struct ConfirmOptions
{
    std::string planFile; ///< A plan written by `--save` or `--output json`.
    /// Idempotency key of the publication; generated if empty. A retry after a lost answer passes
    /// the key of the first attempt, so that the plan is published only once.
    std::string operationId;
    std::string note;             ///< Reason of the change, recorded in the history.
    bool skipPrompt = false;      ///< Confirm without asking.
    bool waitUntilInForce = true; ///< Show progress until the version is in force on every host.
    absl::Duration waitTimeout = absl::Minutes(1);
};

/// One method per subcommand. Each prints its result and returns the exit code.
class Commands final
{
public:
    Commands(ApiClient client, Printer printer)
        : m_client(std::move(client))
        , m_printer(printer)
    {}

    /// Validates an intent file or a directory of them; contacts no node.
    static ExitCode check(const std::string &path);
    /// Plans a file as an intent, or a directory as the complete desired configuration. The plan is
    /// also written to \p planFile unless that is empty.
    ExitCode plan(const std::string &path, const std::string &planFile) const;
    /// Plans to restore the content of \p version.
    ExitCode planRollback(std::uint64_t version, const std::string &planFile) const;
    /// Plans to drain a host, so that its backend servers receive no new requests, or to undo that.
    ExitCode planDrain(const std::string &host, bool undo, const std::string &planFile) const;
    ExitCode confirm(const ConfirmOptions &options) const;
    ExitCode show() const;
    ExitCode status() const;
    ExitCode history(std::optional<std::uint64_t> afterVersion) const;
    /// Prints the difference between a directory and the configuration in force.
    ExitCode diff(const std::string &directory) const;
    /// Prints the timeline and the summary of a request from nodes' log files; contacts no node.
    ExitCode explain(const std::string &requestId, const std::vector<std::string> &files) const;

private:
    ExitCode requestPlan(const std::string &mode, const std::string &body,
                         const std::string &planFile) const;
    ExitCode pollUntilInForce(std::uint64_t version, absl::Duration timeout) const;
    static ExitCode reportFailure(const ApiAnswer &answer);

    ApiClient m_client;
    Printer m_printer;
};

} // namespace godwitlift
