/// \file
/// Socket and timer types of the event loop, clocks, and options common to all connections.
#pragma once

#include <absl/time/time.h>
#include <boost/asio/basic_waitable_timer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <optional>
#include <string>

namespace godwitlift {

namespace asio = boost::asio;

using LoopExecutor = asio::io_context::executor_type;
using TcpSocket = asio::basic_stream_socket<asio::ip::tcp, LoopExecutor>;
using TcpAcceptor = asio::basic_socket_acceptor<asio::ip::tcp, LoopExecutor>;
using LoopTimer =
        asio::basic_waitable_timer<std::chrono::steady_clock,
                                   asio::wait_traits<std::chrono::steady_clock>, LoopExecutor>;

/// Monotonic time as an absl::Time, which most classes take. Not related to the wall clock.
absl::Time steadyNow();

/// Monotonic time since an unspecified start, including time during which the host was suspended.
absl::Duration suspendAwareNow();

/// Parses `IP:port`; none if \p text has another form or the port is 0.
std::optional<asio::ip::tcp::endpoint> parseEndpoint(const std::string &text);

/// Disables Nagle's algorithm and enables keep-alive probes, which detect an unresponsive peer.
void configureConnection(TcpSocket &socket);

/// Sent bytes that the peer's host has not acknowledged; 0 if the system does not tell.
std::size_t unacknowledgedBytes(TcpSocket &socket);

/// Closes a connection with RST; unsent data is discarded.
void resetConnection(TcpSocket &socket);

/// Sets the timer to expire \p delay from now, or at once if \p delay is negative.
void expireAfter(LoopTimer &timer, absl::Duration delay);

/// Per-thread scratch buffer for reads; its content is valid until the handler returns.
struct ReadScratch
{
    static constexpr std::size_t Size = 64 * 1024;
    static char *data();
};

} // namespace godwitlift
