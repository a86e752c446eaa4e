// Reader of server-sent events (text/event-stream) that come in pieces.
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
  std::optional<std::int64_t> weights;  // version from this event on, if the event says so
};

struct EventStreamReader {
  std::string pending;      // bytes of a line that is not complete
  StreamEvent event;        // fields read so far
  bool has_fields = false;  //
  bool has_data = false;    //
  bool malformed = false;   // a line over the limit, or an id that is no number
};

// Adds bytes. Call NextEvent until it returns nullopt.
void AddBytes(EventStreamReader& reader, std::string_view bytes);
// The next whole event; an event whose blank line is missing is not returned.
std::optional<StreamEvent> NextEvent(EventStreamReader& reader);

}  // namespace oleander::serving

#endif  // OLEANDER_SRC_SERVING_EVENT_STREAM_H_
