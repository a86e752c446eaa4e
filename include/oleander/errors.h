// All error kinds, and the answer that a caller gets for each.
//
//   Fail(kind, detail)     creates a failed leaf::result
//   Capture<T>(fn)         runs fn and returns its value or its Error; use it at a boundary
//   DescribeError(kind)    table row of a kind: name, HTTP status, "not run", retry, counter
//
// The table's column `not_run` tells whether a refusal may state "not run". It is set only for kinds that are
// raised where provably no byte of the request was sent to an upstream.
#ifndef OLEANDER_ERRORS_H_
#define OLEANDER_ERRORS_H_

#include <boost/leaf.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <variant>

namespace oleander {

namespace leaf = boost::leaf;

enum class ErrorKind {
  // The request is invalid or not permitted. Nothing was sent to an upstream.
  kInvalidRequest,
  kUnauthenticated,
  kForbidden,
  kNotFound,
  kUnknownJob,
  kBodyTooLarge,
  kReasonRequired,
  kConflict,
  // The system refuses the request. Nothing was sent to an upstream.
  kOverloaded,
  kQueueDeadline,
  kNoUpstream,
  kZoneIsolated,
  kShuttingDown,
  kNotReady,
  kStoreUnavailable,
  kLeaseLost,
  kPeerUnreachable,
  kUpstreamRefused,
  // Delivery of batches.
  kBatchNotReady,
  kBatchExpired,
  // The request was sent to an upstream and may have run.
  kUpstreamFailed,
  kUpstreamTimeout,
  kUpstreamProtocol,
  kPeerProtocol,
  kInProgress,
  kClaimUnavailable,  // this host sent nothing; an earlier attempt with the same key may have run
  kOutcomeUnknown,
  kInternal,
};
inline constexpr int kErrorKindCount = static_cast<int>(ErrorKind::kInternal) + 1;

// Table row: what a caller gets for one error kind.
struct ErrorAnswer {
  ErrorKind kind;            //
  std::string_view name;     // in answers, logs and counters, for example "store_unavailable"
  int http_status;           //
  bool not_run;              // true: the request provably did not run
  bool retry;                // true: the caller may send the same request again
  std::string_view counter;  // name of the refusal counter
};

struct Error {
  ErrorKind kind = ErrorKind::kInternal;  //
  std::string detail;                     // message for people: the refused value and what was expected
};

// Returns the row of `kind`.
const ErrorAnswer& DescribeError(ErrorKind kind);

// Returns the kind with this name, or nullopt.
std::optional<ErrorKind> FindErrorKind(std::string_view name);

// Creates a failed result: `return Fail(ErrorKind::kNotFound, "job clue-writing");`.
inline leaf::error_id Fail(ErrorKind kind, std::string detail) {
  return leaf::new_error(Error{kind, std::move(detail)});
}
inline leaf::error_id Fail(const Error& error) { return leaf::new_error(error); }

// The value of a call or its error. Unlike leaf::result, it can be stored and moved between threads.
template <class T>
using Outcome = std::variant<T, Error>;

// Runs `fn`, which returns leaf::result<T>, and returns its value or its error.
// A result<void> is returned as std::monostate.
template <class T, class F>
Outcome<T> Capture(F&& fn) {
  return leaf::try_handle_all(
      [&]() -> leaf::result<Outcome<T>> {
        if constexpr (std::is_same_v<T, std::monostate>) {
          BOOST_LEAF_CHECK(std::forward<F>(fn)());
          return Outcome<T>(std::in_place_index<0>);
        } else {
          BOOST_LEAF_AUTO(value, std::forward<F>(fn)());
          return Outcome<T>(std::in_place_index<0>, std::move(value));
        }
      },
      [](const Error& error) { return Outcome<T>(std::in_place_index<1>, error); },
      [] {
        return Outcome<T>(std::in_place_index<1>, Error{ErrorKind::kInternal, "error without a kind"});
      });
}

template <class T>
bool Ok(const Outcome<T>& outcome) {
  return outcome.index() == 0;
}
template <class T>
T& Value(Outcome<T>& outcome) {
  return std::get<0>(outcome);
}
template <class T>
const T& Value(const Outcome<T>& outcome) {
  return std::get<0>(outcome);
}
template <class T>
const Error& ErrorOf(const Outcome<T>& outcome) {
  return std::get<1>(outcome);
}

}  // namespace oleander

#endif  // OLEANDER_ERRORS_H_
