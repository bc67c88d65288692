#include "protocol/http.hpp"

#include <algorithm>
#include <array>
#include <charconv>
#include <cstdio>
#include <string>
#include <utility>

#include "protocol/text.hpp"

namespace meadowgauge::protocol {

using transport::BufferUse;

namespace {

// The longest accepted line of chunk framing or of a trailer.
constexpr std::size_t max_framing_line_bytes = 256;
// Room for the first part of a body. If its head leaves less, the body gets a buffer of its own.
constexpr std::size_t min_body_space_bytes = 1024;
// Room for the size line and the line end of a chunk.
constexpr std::size_t max_chunk_framing_bytes = 20;

bool is_control(char c) { return static_cast<unsigned char>(c) < 32; }

// Removes and returns the bytes of `in` up to and including the next \n, or all bytes if there is no \n.
std::string_view take_line(std::string_view& in) {
  auto newline = in.find('\n');
  auto line = in.substr(0, newline == std::string_view::npos ? in.size() : newline + 1);
  in.remove_prefix(line.size());
  return line;
}

}  // namespace

void Message::reset() {
  bytes_.clear();
  state_ = ParseState::start;
  fault_ = Fault::none;
  line_start_ = remaining_ = head_size_ = trailer_size_ = 0;
  framing_.clear();
  fields_.clear();
  method_ = target_ = {};
  status_ = 0;
  is_http_1_0_ = no_body_ = empty_line_skipped_ = out_of_buffers_ = partly_forwarded_ = false;
  body_total_ = 0;
  length_ = {};
}

std::string_view Message::find(std::string_view name) const {
  for (const auto& f : fields_)
    if (equals_ignoring_case(f.name, name)) return f.value;
  return {};
}

int Message::count(std::string_view name) const {
  return static_cast<int>(std::count_if(fields_.begin(), fields_.end(),
                                        [&](const Field& f) { return equals_ignoring_case(f.name, name); }));
}

bool Message::header_lists(std::string_view name, std::string_view token) const {
  return std::any_of(fields_.begin(), fields_.end(), [&](const Field& f) {
    return equals_ignoring_case(f.name, name) && contains_token(f.value, token);
  });
}

bool Message::keep_alive() const {
  if (header_lists("Connection", "close")) return false;
  return !is_http_1_0_ || header_lists("Connection", "keep-alive");
}

bool Message::is_forwarded(const Field& field) const {
  for (std::string_view hop : {"Connection", "Keep-Alive", "Proxy-Connection", "TE", "Trailer",
                               "Transfer-Encoding", "Upgrade", "Content-Length", "Expect"})
    if (equals_ignoring_case(field.name, hop)) return false;
  return !header_lists("Connection", field.name);
}

std::string Message::extract_body() {
  std::string taken;
  for_each_body_segment([&](std::string_view piece) { taken += piece; });
  // Keeps the head, because the fields are views of it.
  bytes_.truncate_to(head_size_);
  return taken;
}

Message::MoveResult Message::move_body(transport::Chain& out, bool chunked, std::size_t max_queued_bytes) {
  if (body_size() == 0) return MoveResult::nothing;
  auto moved = copy_body(out, chunked, 0, max_queued_bytes);
  if (moved == 0) return MoveResult::out_of_buffers;
  bytes_.erase(head_size_, moved);
  partly_forwarded_ = true;
  out_of_buffers_ = false;
  return MoveResult::moved;
}

std::size_t Message::copy_body(transport::Chain& out, bool chunked, std::size_t offset,
                               std::size_t max_queued_bytes) const {
  std::size_t copied = 0;
  while (offset + copied < body_size() && out.size() < max_queued_bytes) {
    auto size = copy_piece(out, chunked, offset + copied);
    if (size == 0) break;
    copied += size;
  }
  return copied;
}

// Copies as much of the body behind its first `offset` bytes as fits into the last buffer of `out`, or into
// one more. Returns the number of bytes; 0 if there is no buffer.
std::size_t Message::copy_piece(transport::Chain& out, bool chunked, std::size_t offset) const {
  auto framing_bytes = chunked ? max_chunk_framing_bytes : 0;
  auto space = out.ensure_space(framing_bytes + 1, BufferUse::shared);
  if (space <= framing_bytes) return 0;
  auto size = std::min(space - framing_bytes, body_size() - offset);
  // append() succeeds, because the space was ensured above.
  if (chunked) {
    std::array<char, max_chunk_framing_bytes> size_line{};
    std::snprintf(size_line.data(), size_line.size(), "%zx\r\n", size);
    static_cast<void>(out.append(size_line.data()));
  }
  auto missing = size;
  bytes_.each(head_size_ + offset, [&](std::string_view part) {
    part = part.substr(0, missing);
    missing -= part.size();
    static_cast<void>(out.append(part));
  });
  if (chunked) static_cast<void>(out.append("\r\n"));
  return size;
}

void Message::connection_closed() {
  if (state_ == ParseState::until_close) state_ = ParseState::complete;
}

std::size_t Message::feed(std::string_view in) {
  const auto given = in.size();
  out_of_buffers_ = false;
  while (!in.empty() && fault_ == Fault::none && state_ != ParseState::complete) {
    bool in_body =
        state_ == ParseState::body || state_ == ParseState::chunk || state_ == ParseState::until_close;
    bool in_head = state_ == ParseState::start || state_ == ParseState::field;
    bool taken = in_body ? feed_body(in) : in_head ? feed_head_line(in) : feed_framing_line(in);
    if (!taken) break;
  }
  return given - in.size();
}

std::size_t Message::ensure_space() {
  // The head stays within its buffer. If that is full, one more byte shows that the head is too large.
  if (!head_complete()) return std::max<std::size_t>(1, transport::buffer_size - bytes_.size());
  if (body_size() >= max_buffered_body) return 0;
  auto space = body_size() > 0 ? bytes_.ensure_space(1, BufferUse::shared)
                               : bytes_.ensure_space(min_body_space_bytes, BufferUse::essential);
  out_of_buffers_ = space == 0;
  return std::min(space, max_buffered_body - body_size());
}

// Moves body bytes from `in` to the buffer. Returns false if the buffer is full or a fault occurred.
bool Message::feed_body(std::string_view& in) {
  auto piece = in.substr(0, remaining_);
  if (body_ == Body::streaming) {
    piece = piece.substr(0, ensure_space());
    if (piece.empty()) return false;
  }
  if (!bytes_.append(piece)) {
    fail(Fault::out_of_buffers);
    return false;
  }
  in.remove_prefix(piece.size());
  remaining_ -= piece.size();
  body_total_ += piece.size();
  if (state_ == ParseState::until_close) {
    if (body_total_ > max_streamed_body) fail(Fault::body_too_large);
  } else if (remaining_ == 0) {
    state_ = state_ == ParseState::body ? ParseState::complete : ParseState::chunk_end;
  }
  return true;
}

// Moves a complete or partial line of the head from `in` to the buffer. Returns false if a fault occurred.
bool Message::feed_head_line(std::string_view& in) {
  auto piece = take_line(in);
  // The head must fit in one buffer, because the fields are contiguous views of it.
  if (bytes_.size() + piece.size() > transport::buffer_size) {
    fail(Fault::head_too_large);
    return false;
  }
  if (!bytes_.append(piece)) {
    fail(Fault::out_of_buffers);
    return false;
  }
  if (!piece.ends_with('\n')) return true;
  auto text = bytes_.front().substr(line_start_);
  line_start_ = bytes_.size();
  parse_line(text.substr(0, text.size() - 1));
  return true;
}

// Removes a complete or partial line of chunk framing or of the trailer from `in`. Returns false if the line
// is too long.
bool Message::feed_framing_line(std::string_view& in) {
  auto piece = take_line(in);
  if (framing_.size() + piece.size() > max_framing_line_bytes) {
    fail(Fault::malformed);
    return false;
  }
  framing_ += piece;
  if (!piece.ends_with('\n')) return true;
  auto text = std::exchange(framing_, {});
  text.pop_back();
  parse_line(text);
  return true;
}

// Parses a line, given without its \n. Rejects a line that does not end with \r\n, because parsers disagree
// on where such a line ends.
void Message::parse_line(std::string_view text) {
  if (!text.ends_with('\r')) return fail(Fault::malformed);
  text.remove_suffix(1);
  switch (state_) {
    case ParseState::start:
      if (text.empty() && kind_ == Kind::request && !empty_line_skipped_) {  // RFC 9112, 2.2
        empty_line_skipped_ = true;
        bytes_.clear();
        line_start_ = 0;
      } else if (!parse_start_line(text)) {
        fail(Fault::malformed);
      } else {
        state_ = ParseState::field;
      }
      break;
    case ParseState::field:
      if (text.empty()) {
        head_size_ = bytes_.size();
        determine_framing();
      } else if (fields_.size() == max_header_fields) {
        fail(Fault::head_too_large);
      } else if (!parse_field_line(text)) {
        fail(Fault::malformed);
      }
      break;
    case ParseState::chunk_size:
      parse_chunk_size(text);
      break;
    case ParseState::chunk_end:
      if (!text.empty()) fail(Fault::malformed);
      state_ = ParseState::chunk_size;
      break;
    case ParseState::trailer:
      trailer_size_ += text.size();
      if (text.empty())
        state_ = ParseState::complete;
      else if (trailer_size_ > transport::buffer_size)
        fail(Fault::head_too_large);
      break;
    default:
      break;
  }
}

bool Message::parse_start_line(std::string_view text) {
  if (std::any_of(text.begin(), text.end(), is_control)) return false;
  return kind_ == Kind::request ? parse_request_line(text) : parse_status_line(text);
}

bool Message::parse_status_line(std::string_view text) {
  constexpr std::string_view version = "HTTP/1.";
  constexpr std::size_t status_from = version.size() + 2;
  constexpr std::size_t status_end = status_from + 3;
  if (!text.starts_with(version) || text.size() < status_end || text[status_from - 1] != ' ') return false;
  is_http_1_0_ = text[version.size()] == '0';
  status_ = parse_number<int>(text.substr(status_from, status_end - status_from)).value_or(0);
  return status_ >= 100 && (text.size() == status_end || text[status_end] == ' ');
}

bool Message::parse_request_line(std::string_view text) {
  auto first = text.find(' ');
  auto last = text.rfind(' ');
  if (first == std::string_view::npos || last == first) return false;
  method_ = text.substr(0, first);
  target_ = text.substr(first + 1, last - first - 1);
  auto version = text.substr(last + 1);
  is_http_1_0_ = version == "HTTP/1.0";
  return is_token(method_) && method_ != "CONNECT" && target_.starts_with('/') &&
         target_.find(' ') == std::string_view::npos && (is_http_1_0_ || version == "HTTP/1.1");
}

bool Message::parse_field_line(std::string_view text) {
  auto colon = text.find(':');
  // Also rejects folded lines, because a token has no leading blank.
  if (colon == std::string_view::npos || !is_token(text.substr(0, colon))) return false;
  auto value = trimmed(text.substr(colon + 1));
  for (char c : value)
    if ((is_control(c) && c != '\t') || c == 127) return false;
  fields_.push_back({text.substr(0, colon), value});
  return true;
}

// Determines how the body ends. Rejects messages with several lengths, or with a length and chunked coding,
// because parsers disagree on where they end.
void Message::determine_framing() {
  const int lengths = count("Content-Length");
  const int codings = count("Transfer-Encoding");
  const int hosts = count("Host");
  if (lengths + codings > 1 || hosts > 1) return fail(Fault::malformed);
  if (kind_ == Kind::request && hosts == 0 && !is_http_1_0_) return fail(Fault::malformed);
  const bool response_without_body =
      kind_ == Kind::response && (no_body_ || status_ < 200 || status_ == 204 || status_ == 304);
  const bool request_without_body = kind_ == Kind::request && lengths + codings == 0;
  if (response_without_body || request_without_body) {
    state_ = ParseState::complete;
  } else if (lengths == 1) {
    set_content_length(find("Content-Length"));
  } else if (codings == 1) {
    if (!equals_ignoring_case(find("Transfer-Encoding"), "chunked") || is_http_1_0_)
      return fail(Fault::malformed);
    state_ = ParseState::chunk_size;
  } else {
    // Close-delimited. Requires `Connection: close`; without it, a truncated response would look complete.
    if (body_ != Body::streaming || keep_alive()) return fail(Fault::malformed);
    remaining_ = std::string_view::npos;
    state_ = ParseState::until_close;
  }
}

void Message::set_content_length(std::string_view digits) {
  auto is_digit = [](char c) { return c >= '0' && c <= '9'; };
  if (digits.empty() || !std::all_of(digits.begin(), digits.end(), is_digit)) return fail(Fault::malformed);
  auto length = parse_number<std::size_t>(digits);
  if (!length || *length > max_body()) return fail(Fault::body_too_large);
  length_ = remaining_ = *length;
  state_ = remaining_ > 0 ? ParseState::body : ParseState::complete;
}

void Message::parse_chunk_size(std::string_view text) {
  text = trimmed(text.substr(0, text.find(';')));
  auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), remaining_, 16);
  if (text.empty() || end != text.data() + text.size() || error == std::errc::invalid_argument)
    return fail(Fault::malformed);
  if (error != std::errc{} || remaining_ > max_body() - std::min(max_body(), body_total_))
    return fail(Fault::body_too_large);
  state_ = remaining_ > 0 ? ParseState::chunk : ParseState::trailer;
}

}  // namespace meadowgauge::protocol
