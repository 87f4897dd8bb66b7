/// \file
/// Growth of a buffer whose final size is known.
#pragma once

#include <malloc.h>

#include <algorithm>
#include <string>

namespace godwitlift {

/// A smaller buffer of this size or more is returned to the system at once. If the heap has grown
/// before, the allocator may have taken it from there, and would keep it.
inline constexpr std::size_t ReclaimedBufferBytes = std::size_t(4) * 1024 * 1024;

/// Makes room for \p neededBytes in all: doubles the capacity, but not beyond \p finalBytes, so
/// that a complete message occupies no more than its size, and an announced one nothing. The last
/// step comes before half of the message is there: while its bytes are copied, they are held twice.
inline void reserveFor(std::string &buffer, std::size_t neededBytes, std::size_t finalBytes)
{
    if (neededBytes <= buffer.capacity())
        return;
    // reserve() of the buffer itself would at least double its capacity.
    const std::size_t doubled = 2 * buffer.capacity();
    std::string larger;
    larger.reserve(std::max(neededBytes, doubled < finalBytes / 2 ? doubled : finalBytes));
    larger += buffer;
    buffer.swap(larger);
    if (larger.capacity() >= ReclaimedBufferBytes) {
        std::string().swap(larger);
        ::malloc_trim(0);
    }
}

} // namespace godwitlift
