// Numbered log events over spdlog, one JSON object per line on standard error, or on standard output after
// StartBoundedLogging. Catalogue: docs/operations.md.
#ifndef OLEANDER_LOG_EVENTS_H_
#define OLEANDER_LOG_EVENTS_H_

#include <string_view>

#include "oleander/types.h"

namespace oleander {

enum class LogEvent {
  kHostStarted = 100,
  kHostReady = 101,
  kHostDraining = 102,
  kHostStopped = 103,
  kSettingsRejected = 104,
  kMemberSuspected = 200,
  kMemberDead = 201,
  kMemberJoined = 202,
  kMemberLeaving = 203,
  kUpstreamLeaving = 210,
  kUpstreamSlow = 211,
  kUpstreamRecovered = 212,
  kConfigAccepted = 300,
  kConfigInForce = 301,
  kConfigLowerRefused = 302,
  kConfigForked = 303,
  kConfigUnconfirmed = 304,
  kStoreDown = 400,
  kStoreBack = 401,
  kZoneCutOff = 410,
  kZoneReunited = 411,
  kLeaseTaken = 500,
  kLeaseLost = 501,
  kLeaseReleased = 502,
  kBatchCommitted = 510,
  kBatchProvisional = 511,
  kBatchExpired = 512,
  kSampleDropped = 513,
  kWeightsAnnounced = 600,
  kWeightsActive = 601,
  kWeightsOrderFailed = 602,
  kWeightsRegressed = 603,
  kClaimUnknown = 700,
  kPeerProtocolError = 800,
  kSettingsReloaded = 105,
  kUpstreamListed = 213,
  kUpstreamRemoved = 214,
  kEntryUnreadable = 215,
  kAnswerTooLarge = 216,
  kUpstreamLimit = 217,
  kUpstreamRate = 218,
  kPermitsGranted = 219,
  kCallUnanswered = 220,
  kIdleConnectionsClosed = 221,
  kForeignAnswer = 222,
  kUpstreamStatesLeaving = 223,
  kUpstreamDeparture = 224,
  kAnswerMalformed = 225,
  kFeedRestarted = 402,
  kStoreAnswerUnexpected = 403,
  kRecordUnreadable = 404,
  kBatchAccepted = 520,
  kBatchOwned = 521,
  kBatchTakeover = 522,
  kBatchReleased = 523,
  kBatchEnded = 524,
  kItemRequeued = 525,
  kItemListed = 526,
  kCheckpointFailed = 527,
  kBatchRefused = 528,
  kBatchRemoved = 529,
  kAssignmentFailed = 530,
  kItemMoved = 531,
  kItemScored = 532,
  kScoringAttemptFailed = 533,
  kItemStarted = 534,
  kTextDiscarded = 535,
  kItemResumed = 536,
  kBatchLoaded = 537,
  kBatchUnreadable = 538,
  kUsageLost = 540,
  kUsageGathered = 541,
  kUsageReported = 542,
  kCapacityOrdered = 543,
  kCapacityRefused = 544,
  kWeightsOrdered = 604,
  kStreamRecordFailed = 904,
  kStreamResumed = 905,
  kRequestAnswered = 900,
  kRequestRefused = 901,
  kAttemptFailed = 902,
  kCallerLeft = 903,
  kRequestMalformed = 906,
  kRequestUnread = 907,
  kAnswerUnread = 908,
};
std::string_view NameOf(LogEvent event);

enum class LogLevel { kInfo, kWarning, kError };
// Logs one line: {"time","level","event","name","host", ...fields}.
void LogEventLine(LogLevel level, LogEvent event, const Json& fields);
// Sets the host name of all later lines and the minimum level: "info", "warning" or "error".
void StartLogging(const HostId& host, std::string_view level);
// As StartLogging, but writes to standard output without blocking: lines are dropped if the reader of the
// pipe does not keep up, and each event is limited to a number of lines per second. The next line of a
// limited event carries the number of suppressed lines as "left_out_before".
void StartBoundedLogging(const HostId& host, std::string_view level);

}  // namespace oleander

#endif  // OLEANDER_LOG_EVENTS_H_
