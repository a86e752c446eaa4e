// Publishes the current RoutingView by read-copy-update (liburcu-memb).
#include <urcu/urcu-memb.h>

#include <atomic>
#include <cassert>
#include <mutex>

#include "oleander/routing.h"

#if defined(__SANITIZE_THREAD__)
#include <sanitizer/tsan_interface.h>
#endif

namespace oleander {

struct RoutingSnapshot {
  std::atomic<const RoutingView*> view{nullptr};
  std::mutex publish_mutex;  // allows one grace period at a time; not taken by readers
};

namespace {

// Registers the thread with liburcu until the thread exits.
struct ThreadRegistration {
  ThreadRegistration() { urcu_memb_register_thread(); }
  ~ThreadRegistration() { urcu_memb_unregister_thread(); }
  int read_depth = 0;
};

ThreadRegistration& Registration() {
  thread_local ThreadRegistration registration;
  return registration;
}

// liburcu is not compiled with ThreadSanitizer, so ThreadSanitizer does not see that a grace period orders
// the last read of a view before its deletion. These functions declare that order, in sanitizer builds only.
void AnnotateReadEnd([[maybe_unused]] const RoutingView* view) {
#if defined(__SANITIZE_THREAD__)
  __tsan_release(const_cast<RoutingView*>(view));
#endif
}
void AnnotateGracePeriod([[maybe_unused]] const RoutingView* view) {
#if defined(__SANITIZE_THREAD__)
  __tsan_acquire(const_cast<RoutingView*>(view));
#endif
}

void FreeAfterReaders(const RoutingView* view) {
  urcu_memb_synchronize_rcu();
  AnnotateGracePeriod(view);
  delete view;
}

}  // namespace

void RoutingSnapshotDeleter::operator()(RoutingSnapshot* snapshot) const {
  FreeAfterReaders(snapshot->view.load(std::memory_order_acquire));
  delete snapshot;
}

RoutingSnapshotPtr MakeRoutingSnapshot(std::unique_ptr<const RoutingView> view) {
  assert(view != nullptr);
  RoutingSnapshotPtr snapshot(new RoutingSnapshot);
  snapshot->view.store(view.release(), std::memory_order_release);
  return snapshot;
}

void Publish(RoutingSnapshot& snapshot, std::unique_ptr<const RoutingView> view) {
  assert(view != nullptr);
  assert(Registration().read_depth == 0 &&
         "Publish must not be called while this thread holds a ReadView: it would deadlock");
  const std::lock_guard<std::mutex> lock(snapshot.publish_mutex);
  FreeAfterReaders(snapshot.view.exchange(view.release(), std::memory_order_acq_rel));
}

ReadView::ReadView(const RoutingSnapshot& snapshot) {
  ++Registration().read_depth;
  urcu_memb_read_lock();
  view_ = snapshot.view.load(std::memory_order_acquire);
}

ReadView::~ReadView() {
  AnnotateReadEnd(view_);
  urcu_memb_read_unlock();
  --Registration().read_depth;
}

}  // namespace oleander
