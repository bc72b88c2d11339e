/// @file
/// The users' interface: job submissions and job states. All decode functions throw DecodeError.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "wire/allowed_types.hpp"
#include "wire/codec.hpp"

namespace elmstall::wire {

/// How the tasks of a job depend on each other.
enum class JobKind : std::uint8_t {
  array,    ///< the tasks are independent and end separately
  service,  ///< the tasks run until the job is cancelled
  gang      ///< all tasks run at the same time, or none does
};
/// Priorities, the lowest first.
enum class Priority : std::uint8_t {
  idle,     ///< scheduled after all other work; preempts only within its team's guarantee
  normal,   ///< scheduled before idle work
  high,     ///< scheduled before normal work
  critical  ///< scheduled before work of all other priorities
};
/// State of a job; `done` and `cancelled` are final.
enum class JobState : std::uint8_t {
  queued,    ///< no task is assigned to a machine
  running,   ///< at least one task is assigned to a machine
  done,      ///< all tasks have completed
  cancelled  ///< a user has cancelled it
};

/// A job as a user submits it.
struct JobSpec {
  std::string id;                        ///< chosen by the user, see valid_job_id()
  std::string job_class;                 ///< name of the class; objectives apply to classes
  std::string team;                      ///< team whose guarantee and limit apply
  JobKind kind = JobKind::array;         ///< how its tasks depend on each other
  Priority priority = Priority::normal;  ///< compared first when jobs are queued
  std::uint32_t tasks = 1;               ///< number of tasks
  double cpus = 0;                       ///< processor cores needed by each task
  double gpus = 0;                       ///< graphics processors needed by each task
  double memory_gb = 0;                  ///< main memory needed by each task, GB
  AllowedTypes types;                    ///< allowed machine types
  std::optional<std::string> zone;       ///< allowed zone; nothing: any
  bool together = false;                 ///< all tasks must run in one zone
  bool spread = false;                   ///< limits the number of tasks in each zone
  bool spot = false;                     ///< tasks may run on spot machines
  std::string image;                     ///< name of the image that its tasks need
  double image_gb = 0;                   ///< size of the image, GB
  double expect_s = 0;                   ///< expected run time of a task, seconds
  double checkpoint_every_s = 0;         ///< seconds between two checkpoints of a task
  double checkpoint_s = 0;               ///< seconds that a checkpoint takes
  std::optional<double> due_s;           ///< completion objective, seconds from the submission
};

/// True if the text has the form of a job id: `job-` and digits, at most 40 bytes.
[[nodiscard]] bool valid_job_id(std::string_view id);
/// Reads only the id of a submission, whose other fields may be malformed.
[[nodiscard]] std::string decode_job_id(const Object& object);
/// Reads a submission.
[[nodiscard]] JobSpec decode_job(const Object& object);
/// Adds a submission to a message or stored record, in the form that decode_job() reads.
void pack_job(Packer& packer, const JobSpec& job);

/// The status of a job as reported to users.
struct JobStatus {
  std::string id;                     ///< as in the submission
  JobState state = JobState::queued;  ///< state of the job as a whole
  std::uint64_t done = 0;             ///< number of completed tasks
  std::uint64_t running = 0;          ///< number of assigned tasks
};
/// The protocol's name of the state.
[[nodiscard]] std::string_view to_text(JobState state);
/// Reads a field that holds the protocol's name of a state.
[[nodiscard]] JobState decode_job_state(const Fields& fields, std::string_view key);
/// Whether the response to a user contains the numbers of tasks.
enum class TaskCounts : std::uint8_t {
  omitted,   ///< identifier and state only
  included,  ///< with the numbers of completed and running tasks
};
/// Writes the response to a user.
[[nodiscard]] std::string encode_status(const JobStatus& status, TaskCounts counts);
/// Reads such a response. Missing numbers become 0.
[[nodiscard]] JobStatus decode_status(const Object& object);

}  // namespace elmstall::wire
