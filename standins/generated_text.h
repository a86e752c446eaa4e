// Deterministic data of the stand-ins: lengths, token ids, words and scores as functions of a seed.
#ifndef OLEANDER_STANDINS_GENERATED_TEXT_H_
#define OLEANDER_STANDINS_GENERATED_TEXT_H_

#include <cstdint>
#include <string>
#include <string_view>

#include "oleander/types.h"

namespace oleander::standins {

// Lognormal distribution of answer lengths; a higher `sigma` gives a heavier tail.
struct LengthDistribution {
  double median = 48;  // tokens
  double sigma = 0.8;  // standard deviation of the logarithm
};

// Key of a token stream. The same seed and prompt give the same stream on any engine.
std::uint64_t StreamKey(std::uint64_t seed, std::string_view prompt);
// Natural length of the stream in tokens, at least 1.
int StreamLength(std::uint64_t stream, const LengthDistribution& distribution);
// Token at `position`. The upper 25 bits depend on the stream and the position, so that a resumed stream
// continues where it stopped. The lower 6 bits are the lowest bits of the version, so that the token itself
// shows a wrong version label.
std::int32_t TokenAt(std::uint64_t stream, int position, Version version);
inline constexpr int kVersionBits = 6;

std::uint64_t HashText(std::string_view text);
// Hash of a number, the same on every run.
std::uint64_t MixBits(std::uint64_t value);
// Uniformly distributed in [0, 1).
double UniformFrom(std::uint64_t value);
// Standard normal distribution.
double NormalFrom(std::uint64_t value);
// Pronounceable word of two to four syllables.
std::string WordFrom(std::uint64_t value);

}  // namespace oleander::standins

#endif  // OLEANDER_STANDINS_GENERATED_TEXT_H_
