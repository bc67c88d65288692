#include "membership/datagram.hpp"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <nlohmann/json.hpp>
#include <optional>
#include <utility>

namespace meadowgauge::membership {

using nlohmann::json;

namespace {

constexpr int format_version = 1;
constexpr double max_rate = 1e9;  // requests a second
constexpr double max_sent_at_ms = 1e15;
constexpr double hundredths_per_unit = 100;  // offers and shares are encoded as integers in hundredths
constexpr std::size_t max_members = 64;
constexpr std::size_t checksum_bytes = sizeof(std::uint64_t);
constexpr std::size_t extra_array_head_bytes = 2;  // longer head of a CBOR array with many elements

// Positions of the fields in the encoded arrays.
enum HeadField : std::size_t {
  version_index,
  from_index,
  incarnation_index,
  sequence_index,
  config_digest_index,
  kind_index,
  sent_at_index,
  recipient_index,
  quotas_index,
  members_index,
  head_field_count
};
enum MemberField : std::size_t {
  member_name_index,
  member_incarnation_index,
  member_heartbeat_index,
  member_age_index,
  member_digest_index,
  member_lendable_index,
  unhealthy_share_index,  // this field and those after it are present only with observations
  observations_index
};
constexpr std::size_t observation_field_count = 4;

std::uint64_t to_integer(double value) { return static_cast<std::uint64_t>(value); }

json to_json(const std::vector<Quota>& quotas) {
  auto array = json::array();
  for (const auto& quota : quotas) {
    array.push_back(quota.limit);
    array.push_back(quota.rate);
  }
  return array;
}

// Rounds offers down to hundredths, which suffices since offers are hints. Encodes a digest that equals the
// datagram's own as 0.
json to_json(const MemberState& member, std::uint64_t datagram_digest) {
  auto lendable = json::array();
  for (const auto& quota : member.lendable) {
    lendable.push_back(quota.limit);
    lendable.push_back(to_integer(quota.rate * hundredths_per_unit));
  }
  std::uint64_t config_digest = member.config_digest == datagram_digest ? 0 : member.config_digest;
  auto array = json::array({member.name, member.incarnation, member.heartbeat, to_integer(member.age_ms),
                            config_digest, std::move(lendable)});
  if (member.observations.empty()) return array;
  array.push_back(to_integer(member.unhealthy_share * hundredths_per_unit));
  for (const auto& observation : member.observations) {
    array.push_back(std::uint64_t{observation.server});
    array.push_back(std::uint64_t{observation.failing ? 1U : 0U});
    array.push_back(to_integer(observation.age_ms));
    array.push_back(to_integer(observation.failing_for_ms));
  }
  return array;
}

std::string prepend_checksum(const json& payload) {
  std::string bytes(checksum_bytes, '\0');
  json::to_cbor(payload, bytes);
  auto checksum = digest(std::string_view(bytes).substr(checksum_bytes));
  for (std::size_t i = 0; i < checksum_bytes; ++i) bytes[i] = static_cast<char>(checksum >> (8 * i));
  return bytes;
}

std::uint64_t read_checksum(std::string_view bytes) {
  std::uint64_t checksum = 0;
  for (std::size_t i = 0; i < checksum_bytes; ++i)
    checksum |= static_cast<std::uint64_t>(static_cast<unsigned char>(bytes[i])) << (8 * i);
  return checksum;
}

// Decodes a payload field by field and keeps the first error. Values read after an error are unspecified.
class Decoder {
 public:
  std::variant<Datagram, DatagramError> decode(const json& payload) {
    Datagram datagram;
    read_head(payload, datagram);
    if (error_) return *error_;
    for (const auto& member : payload[members_index]) {
      read_member(member, datagram.config_digest, datagram.members.emplace_back());
      if (error_) return *error_;
    }
    return datagram;
  }

 private:
  using Kind = DatagramError::Kind;

  void fail(Kind kind, std::string_view field, double value) {
    if (!error_) error_ = {.kind = kind, .field = field, .value = value};
  }
  bool read_array(const json& array, std::string_view field, std::size_t min_size, std::size_t max_size) {
    if (array.is_array() && array.size() >= min_size && array.size() <= max_size) return true;
    fail(Kind::malformed, field, array.is_array() ? static_cast<double>(array.size()) : 0);
    return false;
  }
  void read_name(const json& value, std::string_view field, std::string& output) {
    const auto* text = value.get_ptr<const std::string*>();
    if (text && !text->empty() && text->size() <= max_name_bytes)
      output = *text;
    else
      fail(Kind::malformed, field, text ? static_cast<double>(text->size()) : 0);
  }
  void read_unsigned(const json& value, std::string_view field, std::uint64_t& output) {
    if (value.is_number_unsigned())
      output = value.get<std::uint64_t>();
    else
      fail(Kind::malformed, field, 0);
  }
  void read_number(const json& value, std::string_view field, double max_value, double& output) {
    if (!value.is_number()) return fail(Kind::malformed, field, 0);
    output = value.get<double>();
    if (!(output >= 0 && output <= max_value)) fail(Kind::out_of_range, field, output);
  }
  void read_kind(const json& value, DatagramKind& output) {
    std::uint64_t kind = 0;
    read_unsigned(value, "kind", kind);
    if (kind > static_cast<std::uint64_t>(DatagramKind::lease_grant))
      return fail(Kind::out_of_range, "kind", static_cast<double>(kind));
    output = static_cast<DatagramKind>(kind);
  }
  void read_quotas(const json& array, std::string_view field, std::vector<Quota>& output) {
    if (!read_array(array, field, 0, 2 * max_limits)) return;
    if (array.size() % 2 != 0) return fail(Kind::malformed, field, static_cast<double>(array.size()));
    for (std::size_t i = 0; i < array.size(); i += 2) {
      double limit = 0;
      Quota quota;
      read_number(array[i], field, max_limits - 1, limit);
      read_number(array[i + 1], field, max_rate, quota.rate);
      if (!error_) quota.limit = static_cast<int>(limit);
      output.push_back(quota);
    }
  }
  void read_head(const json& payload, Datagram& datagram) {
    if (!read_array(payload, "datagram", head_field_count, head_field_count)) return;
    read_kind(payload[kind_index], datagram.kind);
    read_name(payload[from_index], "from", datagram.from);
    read_unsigned(payload[incarnation_index], "incarnation", datagram.incarnation);
    read_unsigned(payload[sequence_index], "sequence", datagram.sequence);
    read_unsigned(payload[config_digest_index], "config_digest", datagram.config_digest);
    read_number(payload[sent_at_index], "sent_at_ms", max_sent_at_ms, datagram.sent_at_ms);
    read_unsigned(payload[recipient_index], "recipient_incarnation", datagram.recipient_incarnation);
    read_quotas(payload[quotas_index], "quotas", datagram.quotas);
    read_array(payload[members_index], "members", 0, max_members);
  }
  void read_member(const json& array, std::uint64_t datagram_digest, MemberState& member) {
    if (!read_array(array, "member", unhealthy_share_index,
                    observations_index + observation_field_count * max_observations))
      return;
    read_name(array[member_name_index], "member.name", member.name);
    read_unsigned(array[member_incarnation_index], "member.incarnation", member.incarnation);
    read_unsigned(array[member_heartbeat_index], "member.heartbeat", member.heartbeat);
    read_number(array[member_age_index], "member.age_ms", max_member_age_ms, member.age_ms);
    read_unsigned(array[member_digest_index], "member.config_digest", member.config_digest);
    read_quotas(array[member_lendable_index], "member.lendable", member.lendable);
    if (array.size() > unhealthy_share_index) {
      read_number(array[unhealthy_share_index], "member.unhealthy_share", hundredths_per_unit,
                  member.unhealthy_share);
      member.unhealthy_share /= hundredths_per_unit;
      read_observations(array, member.observations);
    }
    if (member.config_digest == 0) member.config_digest = datagram_digest;
    for (auto& quota : member.lendable) quota.rate /= hundredths_per_unit;
  }
  void read_observations(const json& array, std::vector<ServerObservation>& output) {
    constexpr std::string_view field = "member.observations";
    auto fields = array.size() - observations_index;
    if (fields % observation_field_count != 0)
      return fail(Kind::malformed, field, static_cast<double>(fields));
    for (std::size_t i = observations_index; i < array.size() && !error_; i += observation_field_count) {
      std::uint64_t server = 0;
      std::uint64_t failing = 0;
      ServerObservation observation;
      read_unsigned(array[i], field, server);
      read_unsigned(array[i + 1], field, failing);
      read_number(array[i + 2], field, max_member_age_ms, observation.age_ms);
      read_number(array[i + 3], field, max_member_age_ms, observation.failing_for_ms);
      if (server > UINT32_MAX) fail(Kind::out_of_range, field, static_cast<double>(server));
      if (failing > 1) fail(Kind::out_of_range, field, static_cast<double>(failing));
      observation.server = static_cast<std::uint32_t>(server);
      observation.failing = failing == 1;
      output.push_back(observation);
    }
  }

  std::optional<DatagramError> error_;
};

}  // namespace

std::uint64_t digest(std::string_view text) { return XXH3_64bits(text.data(), text.size()); }

EncodedDatagram encode_datagram(const Datagram& datagram) {
  auto payload = json::array({format_version, datagram.from, datagram.incarnation, datagram.sequence,
                              datagram.config_digest, static_cast<int>(datagram.kind), datagram.sent_at_ms,
                              datagram.recipient_incarnation, to_json(datagram.quotas), json::array()});
  EncodedDatagram encoded;
  std::size_t size = checksum_bytes + json::to_cbor(payload).size() + extra_array_head_bytes;
  for (const auto& member : datagram.members) {
    auto array = to_json(member, datagram.config_digest);
    size += json::to_cbor(array).size();
    if (size > max_datagram_bytes || encoded.member_count >= max_members) break;
    payload[members_index].push_back(std::move(array));
    ++encoded.member_count;
  }
  encoded.bytes = prepend_checksum(payload);
  return encoded;
}

std::variant<Datagram, DatagramError> decode_datagram(std::string_view bytes) {
  using Kind = DatagramError::Kind;
  if (bytes.size() <= checksum_bytes || bytes.size() > max_datagram_bytes)
    return DatagramError{
        .kind = Kind::malformed, .field = "size", .value = static_cast<double>(bytes.size())};
  auto cbor = bytes.substr(checksum_bytes);
  if (read_checksum(bytes) != digest(cbor))
    return DatagramError{.kind = Kind::malformed, .field = "checksum"};
  json payload;
  try {
    payload = json::from_cbor(cbor.begin(), cbor.end(), true, false);
  } catch (const json::exception&) {
    // The library throws on an array with an impossible element count even if exceptions are disabled.
    return DatagramError{.kind = Kind::malformed, .field = "cbor"};
  }
  if (!payload.is_array() || payload.empty())
    return DatagramError{.kind = Kind::malformed, .field = "datagram"};
  if (payload[version_index] != format_version)
    return DatagramError{.kind = Kind::unsupported_version, .field = "version"};
  return Decoder().decode(payload);
}

}  // namespace meadowgauge::membership
