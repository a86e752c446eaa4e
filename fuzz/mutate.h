// Seeded mutations for the fuzz tests. The same seed produces the same inputs.
#ifndef OLEANDER_FUZZ_MUTATE_H_
#define OLEANDER_FUZZ_MUTATE_H_

#include <random>
#include <string>

namespace oleander {

// Applies 1 to 4 mutations: overwrites a byte, erases, inserts or repeats bytes, truncates, or flips a bit.
inline std::string Mutate(std::string bytes, std::mt19937_64& random) {
  for (std::uint64_t n = 1 + random() % 4; n > 0; --n) {
    const std::size_t at = bytes.empty() ? 0 : random() % bytes.size();
    const std::size_t length = std::min<std::size_t>(1 + random() % 16, bytes.size() - at);
    switch (random() % 6) {
      case 0:
        if (!bytes.empty()) bytes[at] = static_cast<char>(random());
        break;
      case 1:
        bytes.erase(at, length);
        break;
      case 2:
        bytes.insert(at, 1 + random() % 4, static_cast<char>(random()));
        break;
      case 3:
        bytes.insert(at, bytes.substr(at, length));
        break;
      case 4:
        bytes.resize(at);
        break;
      case 5:
        if (!bytes.empty()) bytes[at] = static_cast<char>(bytes[at] ^ (1 << (random() % 8)));
        break;
    }
  }
  return bytes;
}

}  // namespace oleander

#endif  // OLEANDER_FUZZ_MUTATE_H_
