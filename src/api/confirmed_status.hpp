/// @file
/// Job states that may be told to users.
///
/// An answer binds every controller: once a user was told that a job is done or cancelled, no
/// controller may tell anything else ("Reads never go back" in docs/design.md). So a state can be
/// told only if it comes from one of the sources below, and each source demands a proof that can't
/// be made from a job's record alone.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "election/read_index.hpp"
#include "store/mirror.hpp"
#include "store/state_store.hpp"

namespace elmstall::api {

/// What an answer about a job's state rests on.
enum class StatusSource : std::uint8_t {
  final_record,  ///< the final record of the job, which never changes
  cancel_mark,   ///< the cancel mark in the job's record, which is never taken back
  read_index,    ///< the mirror, shown to be current by a read index
  own_commit,    ///< a transaction of this very request that the state store has applied
};
/// Number of values of StatusSource.
inline constexpr std::size_t kStatusSources = 4;
/// The name of the source in the log.
[[nodiscard]] std::string_view to_text(StatusSource source);

/// Proof that the state store has applied a transaction.
class AppliedCommit {
 public:
  /// Nothing unless the result says that the transaction was applied.
  [[nodiscard]] static std::optional<AppliedCommit> of(const store::CommitResult& result);
  /// Revision of the changes.
  [[nodiscard]] std::uint64_t revision() const { return revision_; }

 private:
  explicit AppliedCommit(std::uint64_t revision) : revision_(revision) {}
  std::uint64_t revision_;
};

/// A job state that may be told to a user, and what it rests on.
class ConfirmedStatus {
 public:
  /// The final state, if the mirror remembers it.
  [[nodiscard]] static std::optional<ConfirmedStatus> of_final_record(const store::Mirror& mirror,
                                                                      const std::string& job);
  /// `cancelled`, if the mirror holds the job with a cancel mark. The final state of such a job can
  /// only be `cancelled` (rule 8).
  [[nodiscard]] static std::optional<ConfirmedStatus> of_cancel_mark(const store::Mirror& mirror,
                                                                     const std::string& job);
  /// The state of a job that the mirror holds, live or final. Nothing if it does not hold it,
  /// or not as it is now because its record can't be decoded.
  [[nodiscard]] static std::optional<ConfirmedStatus> of_current_mirror(
      const election::LinearizableRead& read, const store::Mirror& mirror, const std::string& job);
  /// `queued`: the transaction created the job. Nothing if its answer took so long that the mirror
  /// shows the job cancelled by now, or no longer among the unfinished ones.
  [[nodiscard]] static std::optional<ConfirmedStatus> created(const AppliedCommit& commit,
                                                              const store::Mirror& mirror,
                                                              const std::string& job);
  /// `cancelled`: the transaction wrote the cancel mark.
  [[nodiscard]] static ConfirmedStatus cancelled(const AppliedCommit& commit,
                                                 const std::string& job);

  /// What the user is told.
  [[nodiscard]] const wire::JobStatus& status() const { return status_; }
  /// What it rests on.
  [[nodiscard]] StatusSource source() const { return source_; }
  /// Revision of the records as of which it holds.
  [[nodiscard]] std::uint64_t revision() const { return revision_; }

 private:
  ConfirmedStatus(wire::JobStatus status, StatusSource source, std::uint64_t revision)
      : status_(std::move(status)), source_(source), revision_(revision) {}

  wire::JobStatus status_;
  StatusSource source_;
  std::uint64_t revision_;
};

}  // namespace elmstall::api
