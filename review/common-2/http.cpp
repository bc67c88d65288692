#include "http.hpp"

#include <algorithm>
#include <cctype>

#include "record.hpp"

namespace review {
namespace {

std::string word(const std::string& line, int number) {
  std::size_t begin = 0;
  for (int i = 0; i < number; ++i) {
    begin = line.find(' ', begin);
    if (begin == std::string::npos) return {};
    ++begin;
  }
  return line.substr(begin, line.find(' ', begin) - begin);
}

std::string lower_case(std::string text) {
  std::ranges::transform(text, text.begin(), [](unsigned char c) { return std::tolower(c); });
  return text;
}

void add_field(Message& message, const std::string& line) {
  auto colon = line.find(':');
  if (colon == std::string::npos) return;
  auto value_begin = line.find_first_not_of(' ', colon + 1);
  std::string value = value_begin == std::string::npos ? "" : line.substr(value_begin);
  message.fields[lower_case(line.substr(0, colon))] = value;
}

}  // namespace

std::string Message::method() const { return word(start_line, 0); }
std::string Message::target() const { return word(start_line, 1); }

int Message::status() const {
  auto text = word(start_line, 1);
  return text.empty() ? 0 : std::atoi(text.c_str());
}

std::string Message::field(const std::string& name) const {
  auto it = fields.find(name);
  return it == fields.end() ? "" : it->second;
}

Io MessageReader::read_line(std::string& line, double until_ms) {
  for (;;) {
    auto end = received_.find("\r\n");
    if (end != std::string::npos) {
      line = received_.substr(0, end);
      received_.erase(0, end + 2);
      return Io::done;
    }
    if (Io io = read_more(until_ms); io != Io::done) return io;
  }
}

Io MessageReader::read_head(Message& message, double until_ms) {
  message = {};
  if (received_.empty())
    if (Io io = read_more(until_ms); io != Io::done) return io;
  message.first_byte_at_ms = now_ms();
  if (Io io = read_line(message.start_line, until_ms); io != Io::done) return io;
  for (;;) {
    std::string line;
    if (Io io = read_line(line, until_ms); io != Io::done) return io;
    if (line.empty()) break;
    add_field(message, line);
  }
  message.last_byte_at_ms = now_ms();
  return Io::done;
}

Io MessageReader::read_exactly(std::string& to, std::size_t size, double until_ms) {
  std::size_t missing = size;
  for (;;) {
    auto taken = std::min(missing, received_.size());
    to.append(received_, 0, taken);
    received_.erase(0, taken);
    missing -= taken;
    if (missing == 0) return Io::done;
    if (Io io = read_more(until_ms); io != Io::done) return io;
  }
}

Io MessageReader::read_chunks(Message& message, double until_ms) {
  for (;;) {
    std::string line;
    if (Io io = read_line(line, until_ms); io != Io::done) return io;
    auto size = std::stoul(line, nullptr, 16);
    if (size == 0) break;
    if (Io io = read_exactly(message.body, size, until_ms); io != Io::done) return io;
    if (Io io = read_line(line, until_ms); io != Io::done) return io;
  }
  std::string line = "trailer";
  while (!line.empty())
    if (Io io = read_line(line, until_ms); io != Io::done) return io;
  return Io::done;
}

Io MessageReader::read_body(Message& message, double until_ms) {
  Io io = Io::done;
  bool is_response = message.start_line.starts_with("HTTP/");
  if (!message.field("content-length").empty()) {
    io = read_exactly(message.body, std::stoul(message.field("content-length")), until_ms);
  } else if (lower_case(message.field("transfer-encoding")) == "chunked") {
    io = read_chunks(message, until_ms);
  } else if (is_response) {
    while (io == Io::done) {
      message.body += received_;
      received_.clear();
      io = read_more(until_ms);
    }
    if (io == Io::ended) io = Io::done;
  }
  message.last_byte_at_ms = now_ms();
  return io;
}

Io MessageReader::read(Message& message, double until_ms) {
  if (Io io = read_head(message, until_ms); io != Io::done) return io;
  return read_body(message, until_ms);
}

const char* name_of(Io io) {
  switch (io) {
    case Io::done:
      return "whole";
    case Io::ended:
      return "ended early";
    case Io::broken:
      return "reset";
    case Io::timed_out:
      return "nothing more in time";
  }
  return "";
}

}  // namespace review
