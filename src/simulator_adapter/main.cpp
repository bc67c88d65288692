// meadowgauge-simulator-adapter: reads batches of events from standard input and writes a reply to each batch
// to standard output. Exits with status 0 at the end of the input, and with 1 if the input is damaged or a
// reply cannot be written.
#include <cstdio>
#include <exception>
#include <span>
#include <string_view>
#include <vector>

#include "simulator_adapter/codec.hpp"
#include "simulator_adapter/host.hpp"

namespace {

using namespace meadowgauge::simulator_adapter;

// Fills `into` from standard input. Returns false if the input ended before the first byte and `may_end` is
// set. Throws FrameError if the input ended anywhere else.
bool read_exactly(std::span<char> into, bool may_end) {
  const auto size = std::fread(into.data(), 1, into.size(), stdin);
  if (size == 0 && may_end && std::feof(stdin) != 0) return false;
  if (size != into.size()) throw FrameError(FrameFault::truncated_input);
  return true;
}

// Reads the next batch into `bytes`. Returns false at the end of the input.
bool read_batch(std::vector<char>& bytes) {
  bytes.resize(batch_header_size);
  if (!read_exactly(bytes, true)) return false;
  const std::size_t size = load<std::uint32_t>(bytes.data() + frame_size_offset);
  if (size < batch_header_size || size > max_batch_size)
    throw FrameError(FrameFault::batch_size_out_of_range);
  bytes.resize(size);
  const auto rest = std::span(bytes).subspan(batch_header_size);
  if (!rest.empty()) read_exactly(rest, false);
  return true;
}

bool write_reply(std::string_view frame) {
  return std::fwrite(frame.data(), 1, frame.size(), stdout) == frame.size() && std::fflush(stdout) == 0;
}

}  // namespace

int main() {
  try {
    Host host;
    std::vector<char> bytes;
    while (read_batch(bytes)) {
      if (write_reply(host.handle(Batch(bytes)))) continue;
      std::fputs("meadowgauge-simulator-adapter: cannot write the reply\n", stderr);
      return 1;
    }
    return 0;
  } catch (const std::exception& error) {
    std::fprintf(stderr, "meadowgauge-simulator-adapter: bad input: %s\n", error.what());
    return 1;
  }
}
