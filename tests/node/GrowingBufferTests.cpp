/// \file
/// Memory that a growing message needs while it is copied.
#include "http/GrowingBuffer.h"

#include <catch2/catch.hpp>

using namespace godwitlift;

// Against a host with 160 MB that held a body of 64 MiB twice for a moment: the capacity had
// doubled to just below its size, so that the last bytes caused another copy (review case 7).
TEST_CASE("a growing message is never copied once more than half of it is there")
{
    constexpr std::size_t FinalBytes = std::size_t(4) * 1024 * 1024;
    const std::size_t pieceBytes = GENERATE(1'000u, 16'384u, 65'432u, 65'536u);
    std::string buffer;
    while (buffer.size() < FinalBytes) {
        const std::size_t capacity = buffer.capacity();
        const std::size_t size = std::min(pieceBytes, FinalBytes - buffer.size());
        reserveFor(buffer, buffer.size() + size, FinalBytes);
        if (buffer.capacity() != capacity && buffer.size() > FinalBytes / 2)
            FAIL("copied with " << buffer.size() << " bytes");
        buffer.append(size, 'x');
    }
    CHECK(buffer.capacity() <= FinalBytes);
}

TEST_CASE("the size that is announced for a message occupies nothing until a part has arrived")
{
    std::string buffer;
    reserveFor(buffer, 1000, std::size_t(64) * 1024 * 1024);
    CHECK(buffer.capacity() < 4000);
}
