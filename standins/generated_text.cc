#include "standins/generated_text.h"

#include <algorithm>
#include <cmath>

namespace oleander::standins {

// FNV-1a, because std::hash may differ between library versions.
std::uint64_t HashText(std::string_view text) {
  std::uint64_t hash = 0xcbf29ce484222325ULL;
  for (const char it : text) {
    hash ^= static_cast<unsigned char>(it);
    hash *= 0x100000001b3ULL;
  }
  return hash;
}

// The finalizer of SplitMix64.
std::uint64_t MixBits(std::uint64_t value) {
  value += 0x9e3779b97f4a7c15ULL;
  value = (value ^ (value >> 30)) * 0xbf58476d1ce4e5b9ULL;
  value = (value ^ (value >> 27)) * 0x94d049bb133111ebULL;
  return value ^ (value >> 31);
}

double UniformFrom(std::uint64_t value) { return static_cast<double>(MixBits(value) >> 11) * 0x1.0p-53; }

// Box-Muller transform of two uniform numbers.
double NormalFrom(std::uint64_t value) {
  const double radius = std::sqrt(-2 * std::log(1 - UniformFrom(value)));
  return radius * std::cos(2 * M_PI * UniformFrom(value + 1));
}

std::uint64_t StreamKey(std::uint64_t seed, std::string_view prompt) {
  return MixBits(seed ^ MixBits(HashText(prompt)));
}

int StreamLength(std::uint64_t stream, const LengthDistribution& distribution) {
  const double length = distribution.median * std::exp(distribution.sigma * NormalFrom(stream));
  return std::max(1, static_cast<int>(std::lround(std::min(length, 1e6))));
}

std::int32_t TokenAt(std::uint64_t stream, int position, Version version) {
  const std::uint64_t hash = MixBits(stream + static_cast<std::uint64_t>(position) * 0x9e3779b97f4a7c15ULL);
  const std::uint64_t low = static_cast<std::uint64_t>(version) & ((1U << kVersionBits) - 1);
  return static_cast<std::int32_t>(((hash & 0x1ffffff) << kVersionBits) | low);
}

std::string WordFrom(std::uint64_t value) {
  constexpr std::string_view consonants = "bdfgklmnprstvz";
  constexpr std::string_view vowels = "aeiou";
  std::string word;
  const int syllables = 2 + static_cast<int>(MixBits(value) % 3);
  for (int it = 0; it < syllables; ++it) {
    const std::uint64_t bits = MixBits(value + static_cast<std::uint64_t>(it) + 7);
    word += consonants[bits % consonants.size()];
    word += vowels[(bits >> 8) % vowels.size()];
  }
  return word;
}

}  // namespace oleander::standins
