/// \file
/// Malformed, unsatisfiable and repeated requests of users, and unexpected heartbeats.
#include <gtest/gtest.h>

#include "support/scenarios.hpp"

namespace elmstall::test {
namespace {

using wire::JobState;

std::string packed(const wire::JobSpec& job) {
  wire::Packer packer;
  wire::pack_job(packer, job);
  return packer.take();
}

/// The packed job without `field`, or with the value that `replacement` packs.
std::string packed_without(const wire::JobSpec& job, std::string_view field,
                           const std::function<void(wire::Packer&)>& replacement = {}) {
  const auto bytes = packed(job);
  const auto document = wire::Document::parse(bytes);
  const auto& map = document.root().via.map;
  wire::Packer packer;
  packer.map(replacement ? map.size : map.size - 1);
  for (const auto& pair : map) {
    const auto name = wire::as_text(pair.key, "key");
    if (name == field && !replacement) continue;
    packer.text(name);
    if (name == field)
      replacement(packer);
    else
      packer.object(pair.val);
  }
  return packer.take();
}

TEST(OddRequests, InvalidSubmissionsAreRejectedAtOnceAndNotStored) {
  World world(3100);
  world.cloud.capacity = 0;  // no job needs to run in this test
  world.run_until(10);
  const auto jobs_stored = [&] {
    return std::count_if(
        world.state.items().begin(), world.state.items().end(),
        [](const auto& item) { return item.first.starts_with(store::job_key("job-")); });
  };
  int number = 100;
  const auto submit = [&](const std::string& body) {
    const auto response =
        world.response_of(static_cast<std::size_t>(number) % 3, {"POST", "/api/jobs", body}, 0.5);
    return response ? response->status : 0;
  };
  for (const char* field :
       {"uid", "lane", "owner", "shape", "rank", "shards", "cores", "cards", "ram_gb", "together",
        "scatter", "loaners", "bundle", "pull_gb", "expect_s", "mark_every_s", "mark_s"}) {
    EXPECT_EQ(submit(packed_without(array(++number, 1), field)), 400) << field << " is missing";
    EXPECT_EQ(submit(packed_without(array(++number, 1), field,
                                    [](wire::Packer& packer) { packer.null(); })),
              400)
        << field << " is null";
    EXPECT_EQ(submit(packed_without(array(++number, 1), field,
                                    [](wire::Packer& packer) { packer.list(0); })),
              400)
        << field << " is a list";
  }
  auto submission = array(++number, 1);
  submission.team = "nobody";
  EXPECT_EQ(submit(packed(submission)), 422);
  submission = array(++number, 1);
  submission.cpus = 13;
  EXPECT_EQ(submit(packed(submission)), 422) << "larger than any machine";
  submission = array(++number, 1);
  submission.types = wire::AllowedTypes::only({"m99"});
  EXPECT_EQ(submit(packed(submission)), 422) << "no such type";
  submission = array(++number, 1);
  submission.zone = "west";
  EXPECT_EQ(submit(packed(submission)), 422) << "no such zone";
  submission = service(++number, 9);
  submission.team = "red";
  EXPECT_EQ(submit(packed(submission)), 422) << "a service needs its team's limit for all tasks";
  EXPECT_EQ(jobs_stored(), 0);
  submission.kind = wire::JobKind::array;
  submission.id = "job-" + std::to_string(++number);
  EXPECT_EQ(submit(packed(submission)), 201)
      << "an array does not need the limit for all tasks at once";
  for (const char* field : {"builds", "yard", "due_s"})
    EXPECT_EQ(submit(packed_without(array(++number, 1), field)), 201) << field << " may be omitted";
  EXPECT_EQ(jobs_stored(), 4);
}

/// Guards against `wrong_place`: an empty list of machine types allows none, and null allows any.
TEST(OddRequests, AnEmptyListOfMachineTypesAllowsNone) {
  World world(3105);
  world.run_until(10);
  const auto submit = [&](std::size_t node, const wire::JobSpec& job,
                          const std::function<void(wire::Packer&)>& types) {
    world.register_job(job);
    const net::Request request{"POST", "/api/jobs", packed_without(job, "builds", types)};
    const auto response = world.response_of(node, request, 0.5);
    return response ? response->status : 0;
  };
  for (std::size_t node = 0; node < world.node_count(); ++node) {
    const auto job = array(static_cast<int>(node) + 1, 2);
    EXPECT_EQ(submit(node, job, [](wire::Packer& packer) { packer.list(0); }), 422) << node;
    EXPECT_FALSE(world.state.items().contains(store::job_key(job.id))) << node;
  }
  world.run_for(60);
  EXPECT_EQ(world.rules.starts(), 0U);
  EXPECT_EQ(submit(0, array(9, 2), [](wire::Packer& packer) { packer.null(); }), 201);
  world.run_for(60);
  EXPECT_EQ(world.rules.starts(), 2U);
}

/// A repeated submission of an accepted id is answered with the job's state, whatever else it
/// contains. Requests for ids that were never accepted get 404.
TEST(OddRequests, RepeatedRequestsKeepTheirAnswerAndUnknownJobsGet404) {
  World world(3110);
  const auto first = array(1, 2, 3);
  world.submit(first);
  world.submit(array(2, 2, 3000));
  world.run_until(60);
  ASSERT_EQ(poll_reported_state(world, "job-1"), JobState::done);
  const auto status_of = [&](const std::string& method, const std::string& path,
                             std::string body = {}) {
    const auto response = world.response_of(world.pick(3), {method, path, std::move(body)}, 0.5);
    return response ? response->status : 0;
  };
  const auto state_of = [&](const std::string& path, std::string body = {}) {
    const auto response = world.response_of(world.pick(3), {"POST", path, std::move(body)}, 0.5);
    if (!response || response->status != 200)
      return std::string("status ") + std::to_string(response ? response->status : 0);
    return std::string(wire::to_text(job_state_in(*response)));
  };
  auto other = array(2, 9, 1);
  other.team = "nobody";
  EXPECT_EQ(state_of("/api/jobs", packed(other)), "running")
      << "a repeat with a job that could never run";
  EXPECT_EQ(state_of("/api/jobs", packed_without(array(2, 1), "lane")), "running")
      << "a repeat that lacks a field";
  EXPECT_EQ(state_of("/api/jobs", packed_without(first, "shape")), "done");
  EXPECT_EQ(state_of("/api/jobs", packed(first)), "done");
  EXPECT_EQ(state_of("/api/jobs/job-1/cancel"), "done");
  EXPECT_EQ(state_of("/api/jobs/job-1/cancel"), "done") << "a repeated cancellation";
  EXPECT_EQ(status_of("POST", "/api/jobs/job-77/cancel"), 404);
  EXPECT_EQ(status_of("GET", "/api/jobs/job-77"), 404);
  EXPECT_EQ(status_of("GET", "/api/jobs/what"), 404);
  EXPECT_EQ(status_of("POST", "/api/jobs", "\xc1"), 400);
  EXPECT_EQ(status_of("POST", "/v1/report", "\x81\xa4host\x01"), 400);
  expect_no_violations(world);
}

TEST(BadInput, TheWrongMethodIsRefused) {
  World world(44);
  for (const char* path : {"/v1/report", "/api/jobs", "/ready"}) {
    const auto response = world.response_of(0, {"DELETE", path, {}}, 0.1);
    ASSERT_TRUE(response) << path;
    EXPECT_EQ(response->status, 405) << path;
  }
}

/// A heartbeat with hundreds of tasks of unknown jobs gets a reply of bounded size. The machine is
/// marked, so that it gets no work while it holds such tasks.
TEST(BadInput, ReplyToHundredsOfUnknownTasksIsBounded) {
  World world(42);
  world.run_until(5);
  wire::WorkerHeartbeat heartbeat{"host-999999", "", "m12", "north", false, 1, 1, 0,
                                  std::nullopt,  {}};
  for (std::uint32_t i = 0; i < 900; ++i)
    heartbeat.tasks.push_back(
        {"job-77", i, 1, wire::TaskState::running, wire::EndCause::none, false});
  const auto response = world.response_of(leader_index(world), heartbeat_request(heartbeat), 1);
  ASSERT_TRUE(response);
  EXPECT_EQ(response->status, 200);
  EXPECT_LT(response->body.size(), 64U * 1024);
  EXPECT_EQ(commands_in(*response).size(), constants::kMaxCommands);
  EXPECT_TRUE(leader_model(world).find_machine("host-999999")->has_unknown_jobs);
}

}  // namespace
}  // namespace elmstall::test
