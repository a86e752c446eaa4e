// The account of the bytes that this process holds for others: requests from their first byte until no
// attempt can need them, answers until the caller has received them, and batch jobs. It bounds memory by not
// reading: a holder without room leaves its bytes in the socket, and is refused if no room becomes free.
//
// Load pattern: callers that nobody controls send many large bodies at the same time, most of them not to
// their end, and read no answers. Smaller holders have room that larger ones cannot take, so ordinary
// requests are served beside them.
#ifndef OLEANDER_SRC_SERVING_HELD_BYTES_H_
#define OLEANDER_SRC_SERVING_HELD_BYTES_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>
#include <vector>

#include "absl/time/time.h"

namespace oleander::serving {

enum class HeldKind {
  kRequests,  // of callers, from the first byte
  kAnswers,   // of upstreams and the store, to the last byte sent to the caller
  kJobs,      // batch jobs that this host runs or is storing
};
inline constexpr std::size_t kHeldKindCount = 3;
std::string_view NameOf(HeldKind kind);

// Of a holder, by its bytes.
enum class HeldSize {
  kSmall,   // a lookup
  kMedium,  // the batch job of a training step
  kLarge,   //
};
inline constexpr std::size_t kHeldSizeCount = 3;
HeldSize SizeOf(std::size_t bytes);

struct HeldLimits {
  std::size_t total = 0;                             // bytes
  std::array<std::size_t, kHeldKindCount> shares{};  // bytes, by HeldKind; their sum is `total`
};
// Bytes held, by HeldKind and HeldSize.
using HeldUse = std::array<std::array<std::size_t, kHeldSizeCount>, kHeldKindCount>;
std::size_t BytesOf(const HeldUse& use, HeldKind kind);

// `memory_bytes`: limit of the process. What is left of it is for the process itself and for copies that a
// parser makes.
HeldLimits HeldLimitsFor(std::size_t memory_bytes);

// Returns whether a holder that holds `held` bytes of `kind` may hold `wanted` bytes. `use` includes `held`.
// Large holders fill at most three fifths of the share of their kind, medium ones add to four fifths of it;
// small and medium ones have a part of their own besides. A single large one may exceed the share, so that a
// body within the callers' limits is served by a small host, too.
bool MayHold(const HeldLimits& limits, const HeldUse& use, HeldKind kind, std::size_t held,
             std::size_t wanted);

// A connection whose request waits for room.
struct RoomWaiter {
  std::uint64_t id = 0;  //
  std::size_t held = 0;  // bytes of its body that it holds already
  absl::Time since;      // when it began to wait
};
// Returns the waiter to refuse after one has waited for `max_wait`, or 0 if none has. A waiter without a part
// of its body is refused itself. Otherwise the one with the smallest part goes, and the room of its part lets
// the others go on; without this, many bodies that each hold a part would wait for each other.
std::uint64_t ChooseRefused(const std::vector<RoomWaiter>& waiters, absl::Duration max_wait, absl::Time now);

class HeldBytes {
 public:
  explicit HeldBytes(const HeldLimits& limits) : limits_(limits) {}
  std::size_t Held(HeldKind kind) const { return BytesOf(use_, kind); }
  bool MayHold(HeldKind kind, std::size_t held, std::size_t wanted) const {
    return serving::MayHold(limits_, use_, kind, held, wanted);
  }

 private:
  friend class HeldCharge;
  HeldLimits limits_;
  HeldUse use_{};
};

// What one holder has on the account. Releases it when it is destroyed; the account must live longer.
class HeldCharge {
 public:
  HeldCharge() = default;  // of no account: every change succeeds
  HeldCharge(HeldBytes* account, HeldKind kind) : account_(account), kind_(kind) {}
  HeldCharge(HeldCharge&& other) noexcept;
  HeldCharge& operator=(HeldCharge&& other) noexcept;
  ~HeldCharge() { Resize(0); }
  std::size_t Bytes() const { return bytes_; }
  // Returns false, and changes nothing, if the account has no room for the growth.
  bool TryResize(std::size_t bytes);
  // Grows without asking, for bytes that are held in any case.
  void Resize(std::size_t bytes);

 private:
  HeldBytes* account_ = nullptr;
  HeldKind kind_ = HeldKind::kRequests;
  std::size_t bytes_ = 0;
};

}  // namespace oleander::serving

#endif  // OLEANDER_SRC_SERVING_HELD_BYTES_H_
