/// \file
/// Latency of calls through the mesh against the same calls straight to the backend server, taken
/// in turns within one run. Prints one line per path.
#include "godwitlift/adapters/HttpRequester.h"

#include <CLI/CLI.hpp>
#include <absl/strings/str_format.h>
#include <absl/time/clock.h>

#include <algorithm>
#include <atomic>
#include <iostream>
#include <string>
#include <thread>
#include <vector>

namespace {

using namespace godwitlift;

/// Calls to one address.
struct Series
{
    std::string label;
    std::string url;
    std::vector<double> milliseconds;
    std::uint64_t failures = 0;
};

/// One worker's share: calls alternate between the series, so that both see the same moments.
void work(std::vector<Series> &series, int count, absl::Duration pause)
{
    for (int i = 0; i < count; ++i) {
        for (Series &one : series) {
            OutgoingRequest request;
            request.method = "GET";
            request.url = one.url;
            request.timeout = absl::Seconds(10);
            const absl::Time started = absl::Now();
            const IncomingResponse response = sendRequest(request);
            one.milliseconds.push_back(absl::ToDoubleMilliseconds(absl::Now() - started));
            if (response.status != 200)
                ++one.failures;
        }
        if (pause > absl::ZeroDuration())
            absl::SleepFor(pause);
    }
}

double quantile(std::vector<double> values, double share)
{
    std::sort(values.begin(), values.end());
    return values[static_cast<std::size_t>(share * static_cast<double>(values.size() - 1))];
}

} // namespace

int main(int argc, char **argv)
{
    CLI::App app("call-bench: latency of calls through the mesh against direct ones");
    std::vector<std::string> paths;
    int workers = 1;
    int count = 2000;
    int pauseMicroseconds = 0;
    app.add_option("paths", paths, "label=URL, in the order in which they take turns")->required();
    app.add_option("--workers", workers, "Calls in flight");
    app.add_option("--count", count, "Calls per worker and path");
    app.add_option("--pause-us", pauseMicroseconds, "Pause of a worker between its turns");
    CLI11_PARSE(app, argc, argv);
    std::vector<Series> empty;
    for (const std::string &path : paths) {
        const std::size_t cut = path.find('=');
        empty.push_back({ path.substr(0, cut), path.substr(cut + 1), {}, 0 });
    }
    std::vector<std::vector<Series>> results(static_cast<std::size_t>(workers), empty);
    work(empty, 50, absl::ZeroDuration()); // Opens connections.
    std::vector<std::thread> threads;
    const absl::Time started = absl::Now();
    for (auto &result : results)
        threads.emplace_back([&result, count, pauseMicroseconds] {
            work(result, count, absl::Microseconds(pauseMicroseconds));
        });
    for (std::thread &thread : threads)
        thread.join();
    const double seconds = absl::ToDoubleSeconds(absl::Now() - started);
    for (std::size_t k = 0; k < empty.size(); ++k) {
        std::vector<double> all;
        std::uint64_t failures = 0;
        for (const auto &result : results) {
            all.insert(all.end(), result[k].milliseconds.begin(), result[k].milliseconds.end());
            failures += result[k].failures;
        }
        std::cout << absl::StrFormat("path=%s workers=%d calls=%d failures=%d calls_per_s=%.0f "
                                     "p50_ms=%.3f p99_ms=%.3f\n",
                                     empty[k].label, workers, all.size(), failures,
                                     static_cast<double>(all.size()) / seconds, quantile(all, 0.5),
                                     quantile(all, 0.99));
    }
    return 0;
}
