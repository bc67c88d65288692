// What balancers of a tier tell each other, as bytes. Decides nothing: brain.cpp says what is told and what
// is made of it.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace meadow {

// The latest word on a server: how long a visit takes there, whether it fails (0 to 1), how old that is.
struct Word {
  std::uint32_t id = 0;  // 24 bits
  double wait = 0;       // 0: not known
  double sick = 0;
  double age = 0;
};

// A key's share of the tier's visits, as far as known.
struct Heard {
  std::uint32_t key = 0;  // 24 bits
  double share = 0;
};

struct Told {
  std::vector<Word> words;
  std::vector<Heard> keys;
};

inline constexpr std::size_t memo_words = 36,
                             memo_keys = 8;   // at most, which fills the 256 bytes a memo may hold
inline constexpr double memo_oldest = 12000;  // the age that a byte can say

std::string write_memo(const Told& told);
// Nothing where the bytes are torn, foreign or of another version.
std::optional<Told> read_memo(std::string_view bytes);

}  // namespace meadow
