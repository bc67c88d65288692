#include "membership/gossip_codec.hpp"

#include <algorithm>
#include <cmath>

namespace meadowgauge {
namespace {

constexpr char format_version = 1;
constexpr std::size_t head_bytes = 5;
constexpr std::size_t endpoint_bytes = 6;
constexpr std::size_t key_bytes = 4;
constexpr double age_step_ms = 50;     // unit of an encoded age
constexpr double min_response_ms = 4;  // lowest response time that the logarithmic encoding distinguishes
constexpr double response_step_log_ratio = 0.04;  // natural logarithm of the ratio between two steps
constexpr double share_steps = 255;               // encoded value of a share of 1

char to_byte(double value) {
  return static_cast<char>(static_cast<std::uint8_t>(std::clamp(value, 0.0, 255.0)));
}

// Adler checksum with the modulus 251, so that each of the two sums fits into a byte.
std::uint16_t checksum(std::string_view bytes) {
  std::uint32_t a = 1;
  std::uint32_t b = 0;
  for (unsigned char c : bytes) {
    a = (a + c) % 251;
    b = (b + a) % 251;
  }
  return static_cast<std::uint16_t>(b << 8 | a);
}

// Appends the low three bytes of `id`, least significant byte first.
void append_id(std::string& bytes, std::uint32_t id) {
  for (int shift : {0, 8, 16}) bytes.push_back(static_cast<char>(id >> shift));
}

// Encodes a response time on a logarithmic scale; 0 stands for an unknown response time.
char response_byte(double response_ms) {
  return response_ms > 0
             ? to_byte(1 + std::log(std::max(1.0, response_ms / min_response_ms)) / response_step_log_ratio)
             : '\0';
}

double response_ms_of(unsigned char byte) {
  return byte > 0 ? min_response_ms * std::exp((byte - 1) * response_step_log_ratio) : 0;
}

}  // namespace

// The head consists of the version, the number of endpoints, the checksum of the bytes after the head (two
// bytes) and the number of keys.
std::string encode_gossip(const GossipContent& content) {
  auto endpoint_count = std::min(content.endpoints.size(), max_gossip_endpoints);
  auto key_count = std::min(content.keys.size(), max_gossip_keys);
  std::string bytes{format_version, static_cast<char>(endpoint_count), 0, 0, static_cast<char>(key_count)};
  for (std::size_t i = 0; i < endpoint_count; ++i) {
    const auto& endpoint = content.endpoints[i];
    append_id(bytes, endpoint.id);
    bytes.push_back(response_byte(endpoint.response_ms));
    bytes.push_back(to_byte(endpoint.failure_share * share_steps));
    bytes.push_back(to_byte(endpoint.age_ms / age_step_ms));
  }
  for (std::size_t i = 0; i < key_count; ++i) {
    append_id(bytes, content.keys[i].key);
    bytes.push_back(to_byte(std::sqrt(std::max(0.0, content.keys[i].share)) * share_steps));
  }
  auto check = checksum(std::string_view(bytes).substr(head_bytes));
  bytes[2] = static_cast<char>(check);
  bytes[3] = static_cast<char>(check >> 8);
  return bytes;
}

std::optional<GossipContent> decode_gossip(std::string_view bytes) {
  auto at = [&](std::size_t i) { return static_cast<unsigned char>(bytes[i]); };
  if (bytes.size() < head_bytes || bytes[0] != format_version) return {};
  if (at(1) > max_gossip_endpoints || at(4) > max_gossip_keys) return {};
  const std::size_t keys_begin = head_bytes + at(1) * endpoint_bytes;
  if (bytes.size() != keys_begin + at(4) * key_bytes) return {};
  if (checksum(bytes.substr(head_bytes)) != (at(2) | at(3) << 8)) return {};
  auto id = [&](std::size_t k) -> std::uint32_t { return at(k) | at(k + 1) << 8 | at(k + 2) << 16; };
  GossipContent content;
  for (std::size_t k = head_bytes; k < keys_begin; k += endpoint_bytes)
    content.endpoints.push_back({.id = id(k),
                                 .response_ms = response_ms_of(at(k + 3)),
                                 .failure_share = at(k + 4) / share_steps,
                                 .age_ms = (at(k + 5) + 1) * age_step_ms});
  for (std::size_t k = keys_begin; k < bytes.size(); k += key_bytes)
    content.keys.push_back({.key = id(k), .share = at(k + 3) / share_steps * at(k + 3) / share_steps});
  return content;
}

}  // namespace meadowgauge
