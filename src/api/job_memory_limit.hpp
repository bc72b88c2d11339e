/// @file
/// Bound on the memory that unfinished jobs take in every controller, any of which may lead next.
/// Past it a submission is answered at once with the time at which to come back. Jobs of a lower
/// priority reach the bound first, so that urgent work is accepted beside a flood of other jobs.
/// Jobs that are accepted already are not affected. Used on the controller's event loop only.
#pragma once

#include <cstddef>

#include "wire/jobs.hpp"

namespace elmstall::api {

/// Decides whether there is memory for one more job.
class JobMemoryLimit {
 public:
  /// `memory_mb`: memory that the process may use, in MB.
  explicit JobMemoryLimit(double memory_mb);

  /// Whether a job of this priority may be accepted beside `jobs` unfinished ones, whose records
  /// have `record_bytes` bytes in the state store.
  [[nodiscard]] bool allows(std::size_t jobs, std::size_t record_bytes,
                            wire::Priority priority) const;

 private:
  double limit_bytes_;
};

}  // namespace elmstall::api
