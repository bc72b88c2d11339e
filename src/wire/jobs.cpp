#include "wire/jobs.hpp"

#include <algorithm>

#include "config/constants.hpp"
#include "wire/names.hpp"

namespace elmstall::wire {
namespace {

constexpr Names<JobKind, 3> kKinds{
    {{"batch", JobKind::array}, {"daemon", JobKind::service}, {"group", JobKind::gang}}};
constexpr Names<Priority, 4> kPriorities{{{"critical", Priority::critical},
                                          {"high", Priority::high},
                                          {"normal", Priority::normal},
                                          {"idle", Priority::idle}}};
constexpr Names<JobState, 4> kJobStates{{{"queued", JobState::queued},
                                         {"running", JobState::running},
                                         {"done", JobState::done},
                                         {"withdrawn", JobState::cancelled}}};

}  // namespace

bool valid_job_id(std::string_view id) {
  // "always in this form": job- and digits.
  constexpr std::string_view prefix = "job-";
  if (id.size() <= prefix.size() || id.size() > 40 || !id.starts_with(prefix)) return false;
  return std::all_of(id.begin() + prefix.size(), id.end(),
                     [](char c) { return c >= '0' && c <= '9'; });
}

std::string decode_job_id(const Object& object) {
  auto id = Fields(object).text("uid");
  if (!valid_job_id(id)) throw DecodeError("field 'uid' is not a job id");
  return id;
}

JobSpec decode_job(const Object& object) {
  const Fields fields(object);
  JobSpec job;
  job.id = decode_job_id(object);
  job.job_class = fields.text("lane");
  check_text(job.job_class, "lane");
  job.team = fields.text("owner");
  check_text(job.team, "owner");
  job.kind = pick(kKinds, fields.text("shape"), "shape");
  job.priority = pick(kPriorities, fields.text("rank"), "rank");
  const auto tasks = fields.integer("shards");
  if (tasks == 0 || tasks > constants::kMaxTasks)
    throw DecodeError("field 'shards' is out of range");
  job.tasks = static_cast<std::uint32_t>(tasks);
  job.cpus = amount(fields, "cores");
  job.gpus = amount(fields, "cards");
  job.memory_gb = amount(fields, "ram_gb");
  const auto [first, last] = elements(fields.find("builds"), "builds");
  for (const auto* item = first; item != last; ++item)
    job.types.push_back(as_text(*item, "builds"));
  job.zone = fields.maybe_text("yard");
  job.together = fields.flag("together");
  job.spread = fields.flag("scatter");
  job.spot = fields.flag("loaners");
  job.image = fields.text("bundle");
  if (job.image.size() > 200) throw DecodeError("field 'bundle' is too long");
  job.image_gb = amount(fields, "pull_gb");
  job.expect_s = amount(fields, "expect_s");
  job.checkpoint_every_s = amount(fields, "mark_every_s");
  job.checkpoint_s = amount(fields, "mark_s");
  if (fields.find("due_s") != nullptr) job.due_s = amount(fields, "due_s");
  return job;
}

void pack_job(Packer& packer, const JobSpec& job) {
  packer.map(20);
  packer.key("uid").text(job.id);
  packer.key("lane").text(job.job_class);
  packer.key("owner").text(job.team);
  packer.key("shape").text(name_of(kKinds, job.kind));
  packer.key("rank").text(name_of(kPriorities, job.priority));
  packer.key("shards").integer(job.tasks);
  packer.key("cores").number(job.cpus);
  packer.key("cards").number(job.gpus);
  packer.key("ram_gb").number(job.memory_gb);
  packer.key("builds");
  if (job.types.empty()) {
    packer.null();
  } else {
    packer.list(job.types.size());
    for (const auto& type : job.types) packer.text(type);
  }
  packer.key("yard");
  if (job.zone) {
    packer.text(*job.zone);
  } else {
    packer.null();
  }
  packer.key("together").flag(job.together);
  packer.key("scatter").flag(job.spread);
  packer.key("loaners").flag(job.spot);
  packer.key("bundle").text(job.image);
  packer.key("pull_gb").number(job.image_gb);
  packer.key("expect_s").number(job.expect_s);
  packer.key("mark_every_s").number(job.checkpoint_every_s);
  packer.key("mark_s").number(job.checkpoint_s);
  packer.key("due_s");
  if (job.due_s) {
    packer.number(*job.due_s);
  } else {
    packer.null();
  }
}

std::string_view to_text(JobState state) { return name_of(kJobStates, state); }

std::string encode_status(const JobStatus& status, bool with_counts) {
  Packer packer;
  packer.map(with_counts ? 4 : 2);
  packer.key("uid").text(status.id);
  packer.key("status").text(to_text(status.state));
  if (with_counts) {
    packer.key("done").integer(status.done);
    packer.key("running").integer(status.running);
  }
  return packer.take();
}

JobStatus decode_status(const Object& object) {
  const Fields fields(object);
  return {fields.text("uid"), pick(kJobStates, fields.text("status"), "status"),
          fields.integer_or("done", 0), fields.integer_or("running", 0)};
}

}  // namespace elmstall::wire
