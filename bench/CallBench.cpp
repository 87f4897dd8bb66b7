/// \file
/// Compares the latency of calls through the mesh with that of the same calls sent directly to the
/// backend server. One run interleaves the calls to all paths. Prints one line per path.
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

/// Latencies and failures of the calls to one URL.
struct PathSamples
{
    std::string label;
    std::string url;
    std::vector<double> milliseconds;
    std::uint64_t failures = 0;
};

/// The calls of one worker. They alternate between the paths, so that every path is measured under
/// the same load of the machine.
void runWorker(std::vector<PathSamples> &samples, int callsPerPath, absl::Duration pause)
{
    for (int i = 0; i < callsPerPath; ++i) {
        for (PathSamples &path : samples) {
            OutgoingRequest request;
            request.method = "GET";
            request.url = path.url;
            request.timeout = absl::Seconds(10);
            const absl::Time startTime = absl::Now();
            const IncomingResponse response = sendRequest(request);
            path.milliseconds.push_back(absl::ToDoubleMilliseconds(absl::Now() - startTime));
            if (response.status != 200)
                ++path.failures;
        }
        if (pause > absl::ZeroDuration())
            absl::SleepFor(pause);
    }
}

double quantile(std::vector<double> values, double fraction)
{
    std::sort(values.begin(), values.end());
    return values[static_cast<std::size_t>(fraction * static_cast<double>(values.size() - 1))];
}

} // namespace

int main(int argc, char **argv)
{
    CLI::App app("call-bench: latency of calls through the mesh compared with direct calls");
    std::vector<std::string> paths;
    int workerCount = 1;
    int callsPerPath = 2000;
    int pauseMicroseconds = 0;
    app.add_option("paths", paths, "label=URL, in the order in which a worker calls them")
            ->required();
    app.add_option("--workers", workerCount, "Workers, each with one call in flight");
    app.add_option("--count", callsPerPath, "Calls per worker and path");
    app.add_option("--pause-us", pauseMicroseconds,
                   "Pause of a worker after it has called every path");
    CLI11_PARSE(app, argc, argv);
    std::vector<PathSamples> warmUpSamples;
    for (const std::string &path : paths) {
        const std::size_t separator = path.find('=');
        warmUpSamples.push_back({ path.substr(0, separator), path.substr(separator + 1), {}, 0 });
    }
    std::vector<std::vector<PathSamples>> results(static_cast<std::size_t>(workerCount),
                                                  warmUpSamples);
    runWorker(warmUpSamples, 50, absl::ZeroDuration()); // Opens connections.
    std::vector<std::thread> threads;
    const absl::Time startTime = absl::Now();
    for (auto &result : results)
        threads.emplace_back([&result, callsPerPath, pauseMicroseconds] {
            runWorker(result, callsPerPath, absl::Microseconds(pauseMicroseconds));
        });
    for (std::thread &thread : threads)
        thread.join();
    const double seconds = absl::ToDoubleSeconds(absl::Now() - startTime);
    for (std::size_t k = 0; k < warmUpSamples.size(); ++k) {
        std::vector<double> latencies;
        std::uint64_t failures = 0;
        for (const auto &result : results) {
            latencies.insert(latencies.end(), result[k].milliseconds.begin(),
                             result[k].milliseconds.end());
            failures += result[k].failures;
        }
        std::cout << absl::StrFormat("path=%s workers=%d calls=%d failures=%d calls_per_s=%.0f "
                                     "p50_ms=%.3f p99_ms=%.3f\n",
                                     warmUpSamples[k].label, workerCount, latencies.size(),
                                     failures, static_cast<double>(latencies.size()) / seconds,
                                     quantile(latencies, 0.5), quantile(latencies, 0.99));
    }
    return 0;
}
