// ThreadSanitizer annotations for absl::Mutex and absl::CondVar.
//
// The system's Abseil library is built without the sanitizer, so the sanitizer sees neither its lock
// operations nor the happens-before order that they create, and reports every guarded access as a race. In a
// sanitizer build the functions below override those of the library; each annotates the call and forwards to
// the original. In other builds this file is empty.
#if defined(__SANITIZE_THREAD__)

#include <dlfcn.h>
#include <sanitizer/tsan_interface.h>

#include <cstdlib>
#include <string>

#include "absl/base/options.h"
#include "absl/synchronization/mutex.h"

#define OLEANDER_TEXT_OF(name) #name
#define OLEANDER_TEXT(name) OLEANDER_TEXT_OF(name)

namespace {

// The library's own definition of a function in Abseil's inline namespace. `member` is the mangled name after
// the namespaces, for example "5Mutex4LockEv".
template <class F>
F FindOriginal(const char* member) {
  const std::string space = OLEANDER_TEXT(ABSL_OPTION_INLINE_NAMESPACE_NAME);
  const std::string name = "_ZN4absl" + std::to_string(space.size()) + space + member;
  void* const address = dlsym(RTLD_NEXT, name.c_str());
  if (address == nullptr) std::abort();
  return reinterpret_cast<F>(address);
}

// Annotates that a wait releases the mutex and acquires it again. The library's wait functions call each
// other, so only the outermost call is annotated.
thread_local int wait_depth = 0;
class WaitScope {
 public:
  explicit WaitScope(void* mutex) : mutex_(mutex) {
    if (++wait_depth > 1) return;
    __tsan_mutex_pre_unlock(mutex_, 0);
    __tsan_mutex_post_unlock(mutex_, 0);
  }
  ~WaitScope() {
    if (--wait_depth > 0) return;
    __tsan_mutex_pre_lock(mutex_, 0);
    __tsan_mutex_post_lock(mutex_, 0, 0);
  }
  WaitScope(const WaitScope&) = delete;
  WaitScope& operator=(const WaitScope&) = delete;

 private:
  void* mutex_;
};

}  // namespace

// cpp-httplib is also built without the sanitizer. It initializes a function-local static string, and the
// sanitizer does not see the guard of that initialization and reports a race.
extern "C" const char* __tsan_default_suppressions() {  // NOLINT(readability-identifier-naming)
  return "race:httplib::detail::send_socket\n";
}

namespace absl {
ABSL_NAMESPACE_BEGIN

void Mutex::Lock() {
  static const auto original = FindOriginal<void (*)(Mutex*)>("5Mutex4LockEv");
  __tsan_mutex_pre_lock(this, 0);
  original(this);
  __tsan_mutex_post_lock(this, 0, 0);
}

void Mutex::Unlock() {
  static const auto original = FindOriginal<void (*)(Mutex*)>("5Mutex6UnlockEv");
  __tsan_mutex_pre_unlock(this, 0);
  original(this);
  __tsan_mutex_post_unlock(this, 0);
}

bool CondVar::WaitWithTimeout(Mutex* mutex, Duration timeout) {
  static const auto original = FindOriginal<bool (*)(CondVar*, Mutex*, Duration)>(
      "7CondVar15WaitWithTimeoutEPNS0_5MutexENS0_8DurationE");
  const WaitScope scope(mutex);
  return original(this, mutex, timeout);
}

bool CondVar::WaitWithDeadline(Mutex* mutex, Time deadline) {
  static const auto original =
      FindOriginal<bool (*)(CondVar*, Mutex*, Time)>("7CondVar16WaitWithDeadlineEPNS0_5MutexENS0_4TimeE");
  const WaitScope scope(mutex);
  return original(this, mutex, deadline);
}

void CondVar::Wait(Mutex* mutex) {
  static const auto original = FindOriginal<void (*)(CondVar*, Mutex*)>("7CondVar4WaitEPNS0_5MutexE");
  const WaitScope scope(mutex);
  original(this, mutex);
}

ABSL_NAMESPACE_END
}  // namespace absl

#endif  // __SANITIZE_THREAD__
