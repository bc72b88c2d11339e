/// \file
/// Late copies of messages to controllers and to the state store that were answered before. Copies
/// of commands to workers are in command_copies.hpp.
#pragma once

#include <functional>
#include <random>
#include <string>
#include <vector>

#include "support/virtual_time.hpp"

namespace elmstall::test {

/// Repeats messages after a drawn time. Draws from a generator of its own, so that the other draws
/// of a seed stay as they are.
class MessageCopies {
 public:
  MessageCopies(VirtualLoop& loop, unsigned seed) : loop_(loop), generator_(seed) {}

  /// Share of the messages of which a copy arrives.
  double share = 0;
  /// Latest arrival of a copy, in seconds after the original.
  double latest_s = 60;
  /// Keys that copies of transactions have written.
  std::vector<std::string> written_keys;

  /// To be called when a message was executed. Calls `arrive` again later, or never.
  void repeat(std::function<void()> arrive) {
    if (share <= 0 || draw() >= share) return;
    constexpr double soon_share = 0.4;
    const double longest = draw() < soon_share ? 1 : latest_s;
    ++made;
    loop_.after(longest * draw(), std::move(arrive));
  }
  std::size_t made = 0;  ///< number of copies

 private:
  [[nodiscard]] double draw() { return std::uniform_real_distribution<double>(0, 1)(generator_); }

  VirtualLoop& loop_;
  std::mt19937 generator_;
};

}  // namespace elmstall::test
