/// @file
/// How large the leader's transactions may be.
#pragma once

#include <cstddef>
#include <cstdint>

#include "config/settings.hpp"

namespace elmstall::state {

/// The limits of the state store, from the settings, times a scale. The scale is 1 until the
/// state store rejects a transaction as malformed although it keeps to the announced limits; it is
/// then halved, and doubled again after many accepted transactions. See "Limits to come" in
/// docs/design.md.
class CommitLimits {
 public:
  /// Whether shrink() has reduced the limits.
  enum class ShrinkResult : std::uint8_t {
    shrunk,           ///< the scale is smaller than before
    already_smallest  ///< the scale is constants::kCommitScaleMin, and stays so
  };

  /// Starts with a scale of 1. The settings must outlive the object.
  explicit CommitLimits(const config::Settings& settings) : settings_(settings) {}

  /// Bytes that the entries of one value may take as JSON.
  [[nodiscard]] std::size_t value_bytes() const;
  /// Bytes, as JSON. A slot with more live entries than this is not overwritten.
  [[nodiscard]] std::size_t carried_bytes() const;
  /// Writes in one transaction. This one is not scaled.
  [[nodiscard]] std::size_t max_writes() const;
  /// Writes in one transaction above which no further value of the log is added.
  [[nodiscard]] std::size_t max_values() const;

  /// To be called when the state store has rejected a transaction as malformed.
  ShrinkResult shrink();
  /// To be called for every transaction that was applied.
  void on_accepted();

 private:
  const config::Settings& settings_;
  double scale_ = 1;
  int accepted_ = 0;  ///< transactions applied since the scale last changed
};

}  // namespace elmstall::state
