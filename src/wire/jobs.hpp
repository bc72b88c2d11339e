// Users' interface: submissions and the state of jobs.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "wire/codec.hpp"

namespace elmstall::wire {

/// All tasks of a gang run at the same time, or none does.
enum class JobKind : std::uint8_t { array, service, gang };
enum class Priority : std::uint8_t { idle, normal, high, critical };
enum class JobState : std::uint8_t { queued, running, done, cancelled };

/// What a user asks for.
struct JobSpec {
  std::string id;
  std::string job_class;
  std::string team;
  JobKind kind = JobKind::array;
  Priority priority = Priority::normal;
  std::uint32_t tasks = 1;
  double cpus = 0;
  double gpus = 0;
  double memory_gb = 0;
  std::vector<std::string> types;  ///< allowed machine types; empty: any
  std::optional<std::string> zone;
  bool together = false;
  bool spread = false;
  bool spot = false;
  std::string image;
  double image_gb = 0;
  double expect_s = 0;
  double checkpoint_every_s = 0;
  double checkpoint_s = 0;
  std::optional<double> due_s;
};

/// True for ids of the form that users choose them in.
[[nodiscard]] bool valid_job_id(std::string_view id);
/// The id alone, of a submission that may be malformed otherwise. Throws
/// DecodeError.
[[nodiscard]] std::string decode_job_id(const Object& object);
/// A submission. Throws DecodeError.
[[nodiscard]] JobSpec decode_job(const Object& object);
/// A submission as it is stored and sent; `decode_job` reads it.
void pack_job(Packer& packer, const JobSpec& job);

/// What a user is told of a job.
struct JobStatus {
  std::string id;
  JobState state = JobState::queued;
  std::uint64_t done = 0;
  std::uint64_t running = 0;
};
/// The protocol's word for the state.
[[nodiscard]] std::string_view to_text(JobState state);
/// The answer to a user; `with_counts`: with the numbers of tasks.
[[nodiscard]] std::string encode_status(const JobStatus& status, bool with_counts);
/// Reads such an answer. Throws DecodeError.
[[nodiscard]] JobStatus decode_status(const Object& object);

}  // namespace elmstall::wire
