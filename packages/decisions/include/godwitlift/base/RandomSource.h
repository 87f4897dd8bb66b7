/// \file
/// Random numbers passed into decisions as an input, so that a run with a fixed seed is
/// reproducible.
#pragma once

#include <cstdint>
#include <random>

namespace godwitlift {

/// Source of random numbers. Not thread-safe; the caller must hold its own lock.
class RandomSource
{
public:
    virtual ~RandomSource() = default;
    /// Uniform 64-bit number.
    virtual std::uint64_t next() = 0;

    /// Uniform number in [0, bound); 0 when \p bound is 0.
    std::uint64_t uniformBelow(std::uint64_t bound) { return bound == 0 ? 0 : next() % bound; }
    /// Uniform number in [0, 1).
    double uniformReal() { return static_cast<double>(next() >> 11U) * 0x1.0p-53; }
};

/// Seeded Mersenne Twister generator.
class SeededRandom final : public RandomSource
{
public:
    explicit SeededRandom(std::uint64_t seed)
        : m_engine(seed)
    {}
    std::uint64_t next() override { return m_engine(); }

private:
    std::mt19937_64 m_engine;
};

} // namespace godwitlift
