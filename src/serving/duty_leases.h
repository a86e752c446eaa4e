// Leases on duties that one host at a time performs for all: loading weights in a zone, reporting usage,
// ordering capacity. Every host competes for every duty that it wants; the store decides.
//
// Whom the holder calls may not check fencing tokens, so the acts of two holders must never alternate: a
// holder stops acting well before another one may begin, measured by the time since boot, which includes the
// time in which the machine is suspended. The lease row carries no time; a host takes a lease whose row it
// has seen unchanged for long enough. Design: docs/design/duties.md.
#ifndef OLEANDER_SRC_SERVING_DUTY_LEASES_H_
#define OLEANDER_SRC_SERVING_DUTY_LEASES_H_

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

#include "absl/time/time.h"
#include "oleander/serving.h"

namespace oleander::serving {

struct DutyLeaseSettings {
  std::string incarnation;                                  // of this host
  absl::Duration renew_interval = absl::Milliseconds(400);  // between renewals of a lease
  // The holder may act this long after it sent its last confirmed takeover or renewal. The time must not run
  // from the reply: other hosts count from when they see the changed row, so a late reply would let the acts
  // of two holders overlap.
  absl::Duration act_window = absl::Milliseconds(1100);
  absl::Duration hand_over_gap = absl::Seconds(3);         // between the acts of successive holders
  absl::Duration poll_interval = absl::Milliseconds(700);  // between reads of the leases
  // Hosts add a fixed part of this to each wait, so that hundreds do not write at the same moment.
  absl::Duration takeover_spread = absl::Milliseconds(300);
};

class DutyLeases {
 public:
  DutyLeases(Loop& loop, Store& store, DutyLeaseSettings settings);
  // From now on this host competes for the duty. `delay`: additional wait before each takeover, so that other
  // hosts come first.
  void Want(const std::string& duty, absl::Duration delay);
  // Call it a few times a second.
  void Tick();
  // Gives up all leases; another host may begin after `hand_over_gap`.
  void Release();
  bool Holds(std::string_view duty) const;
  // Whether this host may act now. Check it immediately before each act: the host may have been suspended.
  bool MayAct(std::string_view duty) const;
  // Fencing token of this host's acts; grows with each change of the holder. 0: not the holder.
  std::int64_t Fence(std::string_view duty) const;

 private:
  struct Lease {
    absl::Duration delay;
    bool holder = false;
    bool commit_pending = false;
    std::int64_t version = 0;  // of the row, while held
    std::int64_t fence = 0;
    absl::Time may_act_until = absl::InfinitePast();
    absl::Time next_renewal = absl::InfinitePast();
    std::int64_t seen_version = -1;  // of the row, while another host may hold the lease
    absl::Time seen_version_since;
    bool seen_released = false;
  };
  void Poll();
  void TakeIfExpired(const std::string& duty, Lease& lease, const Row* row);
  void Take(const std::string& duty, Lease& lease, std::int64_t version);
  void Renew(const std::string& duty, Lease& lease);
  void Lose(const std::string& duty, Lease& lease, std::string_view reason);

  Loop& loop_;
  Store& store_;
  DutyLeaseSettings settings_;
  bool released_ = false;
  bool poll_pending_ = false;
  absl::Time next_poll_ = absl::InfinitePast();
  std::map<std::string, Lease, std::less<>> leases_;  // by duty
};

}  // namespace oleander::serving

#endif  // OLEANDER_SRC_SERVING_DUTY_LEASES_H_
