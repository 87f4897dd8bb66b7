/// \file
/// Socket types of the single event loop, and options that all connections share.
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

/// Steady time as decisions see it. It never jumps and is no time of day.
absl::Time steadyNow();

/// Time since some start that also counts while the host is suspended.
absl::Duration suspendAwareClock();

/// Parses `IP:port`; none if it is anything else.
std::optional<asio::ip::tcp::endpoint> parseEndpoint(const std::string &text);

/// Sends small messages at once, and notices a peer that has gone silent by keep-alive probes.
void configureConnection(TcpSocket &socket);

/// Closes a connection without delivering what is still unsent.
void closeAbruptly(TcpSocket &socket);

/// Sets the timer to \p delay from now; at least zero.
void expireAfter(LoopTimer &timer, absl::Duration delay);

/// Scratch space for reads, one for each thread; valid until the handler returns.
struct ReadScratch
{
    static constexpr std::size_t Size = 64 * 1024;
    static char *data();
};

} // namespace godwitlift
