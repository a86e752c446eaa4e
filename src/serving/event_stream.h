// Incremental parser for server-sent events (text/event-stream).
#ifndef OLEANDER_SRC_SERVING_EVENT_STREAM_H_
#define OLEANDER_SRC_SERVING_EVENT_STREAM_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace oleander::serving {

struct StreamEvent {
  std::optional<std::int64_t> id;       //
  std::string data;                     // lines joined by line feeds
  std::optional<std::int64_t> weights;  // weight version from this event on, if stated
};

struct EventStreamReader {
  std::string pending;      // bytes not parsed yet
  StreamEvent event;        // fields of the next event so far
  bool has_fields = false;  // `event` has a field
  bool has_data = false;    // `event` has a data line
  bool malformed = false;   // a line over the size limit, or an id that is not a number
};

// Appends received bytes. Call NextEvent afterwards until it returns nullopt.
void AddBytes(EventStreamReader& reader, std::string_view bytes);
// Returns the next event that is complete, that is, ended by a blank line.
std::optional<StreamEvent> NextEvent(EventStreamReader& reader);

}  // namespace oleander::serving

#endif  // OLEANDER_SRC_SERVING_EVENT_STREAM_H_
