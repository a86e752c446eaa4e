#include "serving/event_stream.h"

#include <utility>

#include "serving/text.h"

namespace oleander::serving {
namespace {

// Far above the size of any event; bounds the memory that a faulty upstream can use.
constexpr std::size_t kMaxPendingBytes = 1 << 20;
constexpr std::string_view kWeightsField = "weight-versions";

void ReadField(EventStreamReader& reader, std::string_view line) {
  if (line.starts_with(':')) return;
  const std::size_t colon = line.find(':');
  const std::string_view name = line.substr(0, colon);
  std::string_view value = colon == std::string_view::npos ? std::string_view() : line.substr(colon + 1);
  if (value.starts_with(' ')) value.remove_prefix(1);
  reader.has_fields = true;
  std::int64_t number = 0;
  if (name == "data") {
    if (reader.has_data) reader.event.data.push_back('\n');
    reader.event.data.append(value);
    reader.has_data = true;
  } else if (name == "id") {
    if (ParseInteger(value, &number)) {
      reader.event.id = number;
    } else {
      reader.malformed = true;
    }
  } else if (EqualsIgnoreCase(name, kWeightsField)) {
    if (ParseInteger(value, &number)) reader.event.weights = number;
  }
}

}  // namespace

void AddBytes(EventStreamReader& reader, std::string_view bytes) {
  reader.pending.append(bytes);
  if (reader.pending.size() > kMaxPendingBytes) reader.malformed = true;
}

std::optional<StreamEvent> NextEvent(EventStreamReader& reader) {
  std::size_t start = 0;
  std::optional<StreamEvent> found;
  while (!found) {
    const std::size_t end = reader.pending.find('\n', start);
    if (end == std::string::npos) break;
    std::string_view line(reader.pending.data() + start, end - start);
    if (line.ends_with('\r')) line.remove_suffix(1);
    start = end + 1;
    if (!line.empty()) {
      ReadField(reader, line);
    } else if (reader.has_fields) {
      found = std::move(reader.event);
      reader.event = {};
      reader.has_fields = false;
      reader.has_data = false;
    }
  }
  reader.pending.erase(0, start);
  return found;
}

}  // namespace oleander::serving
