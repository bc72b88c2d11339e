/// @file
/// Job states that may be reported to users.
///
/// Reads are monotonic across all controllers: once one of them has reported a job as done or
/// cancelled, none may report another state ("Reads never go back" in docs/design.md). So a state
/// is reported only if it comes from one of the sources below, and each source requires evidence
/// that a job's record alone does not provide.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "election/read_index.hpp"
#include "store/mirror.hpp"
#include "store/state_store.hpp"

namespace elmstall::api {

/// The evidence for an answer about a job's state.
enum class StatusSource : std::uint8_t {
  final_record,  ///< the final record of the job, which never changes
  cancel_mark,   ///< the cancel mark in the job's record, which is never removed
  read_index,    ///< the mirror, shown to be current by a read index
  own_commit,    ///< a transaction of the same request that the state store has applied
};
/// Number of values of StatusSource.
inline constexpr std::size_t kStatusSources = 4;
/// The name of the source in the log.
[[nodiscard]] std::string_view to_text(StatusSource source);

/// Proof that the state store has applied a transaction.
class AppliedCommit {
 public:
  /// std::nullopt unless the result shows that the transaction was applied.
  [[nodiscard]] static std::optional<AppliedCommit> of(const store::CommitResult& result);
  /// Revision of the changes.
  [[nodiscard]] std::uint64_t revision() const { return revision_; }

 private:
  explicit AppliedCommit(std::uint64_t revision) : revision_(revision) {}
  std::uint64_t revision_;
};

/// A job state that may be reported to a user, and the evidence for it.
class ConfirmedStatus {
 public:
  /// The final state, if the mirror has it in its cache.
  [[nodiscard]] static std::optional<ConfirmedStatus> of_final_record(const store::Mirror& mirror,
                                                                      const std::string& job);
  /// `cancelled`, if the mirror holds the job with a cancel mark. The final state of such a job can
  /// only be `cancelled` (rule 8).
  [[nodiscard]] static std::optional<ConfirmedStatus> of_cancel_mark(const store::Mirror& mirror,
                                                                     const std::string& job);
  /// The state of a job that the mirror holds, live or final. std::nullopt if it does not hold the
  /// job, or holds an outdated state because the job's present record can't be decoded.
  [[nodiscard]] static std::optional<ConfirmedStatus> of_current_mirror(
      const election::LinearizableRead& read, const store::Mirror& mirror, const std::string& job);
  /// `queued`: the transaction created the job. std::nullopt if the reply to the transaction
  /// came so late that the mirror already shows the job as cancelled or no longer unfinished.
  [[nodiscard]] static std::optional<ConfirmedStatus> created(const AppliedCommit& commit,
                                                              const store::Mirror& mirror,
                                                              const std::string& job);
  /// `cancelled`: the transaction wrote the cancel mark.
  [[nodiscard]] static ConfirmedStatus cancelled(const AppliedCommit& commit,
                                                 const std::string& job);

  /// The status to report.
  [[nodiscard]] const wire::JobStatus& status() const { return status_; }
  /// The evidence for it.
  [[nodiscard]] StatusSource source() const { return source_; }
  /// Revision of the records at which the status was valid.
  [[nodiscard]] std::uint64_t revision() const { return revision_; }

 private:
  ConfirmedStatus(wire::JobStatus status, StatusSource source, std::uint64_t revision)
      : status_(std::move(status)), source_(source), revision_(revision) {}

  wire::JobStatus status_;
  StatusSource source_;
  std::uint64_t revision_;
};

}  // namespace elmstall::api
