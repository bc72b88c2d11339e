/// @file
/// Every constant of the project, with its unit and the reason for its value. The groups are the
/// packages that use the constants. What a deployment may change comes from the settings file, and
/// what an operator may change from the properties file, not from here.
#pragma once

#include <cstddef>
#include <cstdint>

namespace elmstall::constants {

// --- wire: limits of the protocols -------------------------------------------------------------
/// Levels. Deepest nesting of a message; the protocols need four.
inline constexpr std::size_t kMaxDepth = 16;
/// Tasks. Most tasks of one job.
inline constexpr std::uint64_t kMaxTasks = 100'000;
/// Bytes. Longest name in a message: of a machine, a job class, a team or an image.
inline constexpr std::size_t kMaxNameBytes = 200;
/// Bytes. Longest job id.
inline constexpr std::size_t kMaxJobIdBytes = 40;

// --- net: HTTP servers and clients -------------------------------------------------------------
/// Bytes. Largest body that is read from the state store or the cloud. A page has 512 KiB at most,
/// but the answer to a watch has no size limit; this one only stops a faulty server.
inline constexpr std::size_t kMaxReplyBytes = std::size_t{8} * 1024 * 1024;
/// Bytes. Largest block of header fields that is read from a client.
inline constexpr std::size_t kMaxHeaderBytes = std::size_t{8} * 1024;
/// Seconds. A connection is closed if it stays silent for this long in the middle of a request.
/// Users give up after 5 s.
inline constexpr double kRequestReadTimeout = 6.0;
/// Seconds. A kept-alive connection without a request is closed after this time. Users poll every
/// 5 s.
inline constexpr double kIdleTimeout = 60.0;
/// Seconds. Interval at which the connections that are past their deadline are looked for. A timer
/// for each connection would have to be set three times in every request.
inline constexpr double kDeadlineCheckInterval = 1.0;

// --- app: limits of the process ----------------------------------------------------------------
/// Bytes. Largest request body that is read, and largest answer to workers and users.
inline constexpr std::size_t kMaxBodyBytes = std::size_t{64} * 1024;
/// Share of the socket limit that inbound connections may use. The rest is for command RPCs to
/// workers (`kWorkerSocketShare`), the state store (10 sockets), the cloud (4), the other
/// controllers (5 each) and connections that are being closed.
inline constexpr double kInboundSocketShare = 0.8;
/// Share of the inbound connections above which the connections of workers are closed after each
/// answer. There may be more workers than one controller has sockets, and a heartbeat occupies its
/// socket for a few milliseconds only. The remaining sockets are for readiness checks, for users,
/// and for many workers that connect at the same moment.
inline constexpr double kWorkerKeepAliveShare = 0.7;
/// Share of the socket limit that connections to workers may use.
inline constexpr double kWorkerSocketShare = 0.08;

// --- store: client of the state store ----------------------------------------------------------
/// Connections to the state store for ordinary requests.
inline constexpr std::size_t kStateConnections = 8;
/// Connections to the state store for watches, each of which occupies one for seconds.
inline constexpr std::size_t kWatchConnections = 2;
/// Seconds. Longest wait for an answer of the state store. Users wait 5 s for the answer to a
/// submission, which leaves time to read the record back and to try a second time.
inline constexpr double kStateTimeout = 1.5;
/// Seconds. Interval at which requests that wait for the rate limit are tried again.
inline constexpr double kStateQueueInterval = 0.02;
/// Seconds. Added to the time for which a watch is held open, before it counts as lost.
inline constexpr double kWatchGrace = 2.0;
/// Entries per page that is requested from the state store.
inline constexpr int kStatePage = 1000;
/// Jobs. Number of final states that are remembered in memory; older ones are read from the state
/// store when a user asks.
inline constexpr std::size_t kFinalStateCacheSize = 20'000;
/// Jobs. Number of final states that a controller remembers having told, to withhold an answer that
/// contradicts one. At some 150 bytes each they take less than 1 MB.
inline constexpr std::size_t kReportedStatesKept = 5'000;
/// Seconds. How often the numbers of answers are logged.
inline constexpr double kAnswerCountsLogInterval = 60;

// --- store: sizes of records -------------------------------------------------------------------
/// Share of a value that is filled with entries. The sizes of entries are estimated by upper
/// bounds; the rest is for the frame around them.
inline constexpr double kValueFillFactor = 0.95;
/// Bytes. Upper bound of what the numbers of a job's record take as JSON beyond their shortest
/// form.
inline constexpr std::size_t kJsonNumberSlack = 32;
/// Bytes. Size of a block's record as JSON without its tasks.
inline constexpr std::size_t kBlockOverheadBytes = 80;
/// Bytes. Size of one task in a block's record as JSON.
inline constexpr std::size_t kTaskRecordBytes = 40;
/// Tasks. Most tasks of one block. A change of one task writes its whole block.
inline constexpr std::uint32_t kMaxBlockTasks = 32;

// --- clients: cloud and command RPCs -----------------------------------------------------------
/// Seconds. Longest wait for an answer of the cloud.
inline constexpr double kCloudTimeout = 8.0;
/// Entries per page that is requested from the cloud's machine list.
inline constexpr int kCloudPage = 500;
/// Seconds. Longest wait for a worker's answer to a command RPC: well above the slowest round trip
/// between zones, and well below a short lease.
inline constexpr double kCommandRpcTimeout = 2.0;

// --- state: group commit -----------------------------------------------------------------------
/// Bytes. Largest transaction, below the limit of the protocol of 64 KiB.
inline constexpr std::size_t kMaxTransactionBytes = std::size_t{48} * 1024;
/// Seconds. Shortest interval between two commits of the leader. At this interval they stay far
/// below the changes that the state store accepts, which leaves room for the changes that users'
/// requests make.
inline constexpr double kCommitInterval = 0.12;
/// Seconds. Pause after a commit that the state store refused. It is short because the leader
/// competes with the submissions of all nodes for the same rate, and because the start of every
/// task waits for this commit.
inline constexpr double kCommitRetry = 0.08;
/// Seconds. Pause after a transaction that the state store called malformed whatever its size.
inline constexpr double kCommitRejectedPause = 1.0;
/// Smallest share of the limits to which transactions are reduced while the state store calls
/// them too large.
inline constexpr double kCommitScaleMin = 0.25;
/// Transactions. Number of accepted ones after which a reduced share is doubled again.
inline constexpr int kCommitsBeforeScaleUp = 200;
/// Share of a value of the ledger log that may still be valid when its slot is overwritten; valid
/// entries are copied into the new value. With a third, copying is cheap, and the log has three
/// times the size of the valid entries, which is what a takeover has to read.
inline constexpr double kMaxLiveSlotShare = 0.33;
/// Slots that the ledger log gets before the first one is overwritten.
inline constexpr std::size_t kInitialSlots = 8;

// --- peer: connections between controllers -----------------------------------------------------
/// Bytes. Largest message between controllers.
inline constexpr std::size_t kMaxPeerMessageBytes = std::size_t{256} * 1024;
/// Bytes. Messages between controllers are written together up to this size. A forwarded heartbeat
/// takes some hundred bytes.
inline constexpr std::size_t kPeerWriteBytes = std::size_t{16} * 1024;
/// Bytes. Messages between controllers are read in pieces of at most this size.
inline constexpr std::size_t kPeerReadBytes = std::size_t{8} * 1024;

// --- config: time limits of leases, see Settings -----------------------------------------------
/// Seconds. Subtracted from the leader lease W for timer steps and for the time it takes to kill a
/// task. Nothing is subtracted for the time that an answer is under way: a worker's lease counts
/// from the moment when it sent the heartbeat, which lies before the moment of the answer, however
/// late that arrives.
inline constexpr double kLeaderLeaseMargin = 1.5;
/// Ratio. Steady clocks run at rates that differ by at most 0.05%; doubled for safety.
inline constexpr double kMaxClockDrift = 0.001;
/// Seconds. Added to every wait for the end of a lease, for timer steps.
inline constexpr double kLeaseMargin = 0.5;
/// Seconds. A worker ignores the answer to a heartbeat that arrives later than this.
inline constexpr double kHeartbeatReplyTimeout = 4.0;
/// Seconds. Used if the settings do not say how long a gang's task waits on its machine for the
/// other tasks.
inline constexpr double kGangWaitDefault = 30.0;
/// Seconds. Used if the settings do not say how soon a gang's task notices that another one is
/// gone.
inline constexpr double kGangPeerDefault = 8.0;

// --- election and controller: leadership -------------------------------------------------------
/// Seconds. Life of the state store's lease to which the leader's record is bound. It is short
/// because the lease of a worker may be 10 s only and the next leader must renew it in time; it is
/// long enough that several renewals may be lost.
inline constexpr double kLeadLease = 3.0;
/// Seconds. Interval at which leases of the state store are renewed and the term is confirmed.
inline constexpr double kRenewInterval = 0.8;
/// Seconds. Followers start an election at a random moment within this time.
inline constexpr double kElectionJitter = 0.1;
/// Candidacies that a node remembers while it is not elected. The transaction of an abandoned
/// candidacy can be applied only as long as its lease lives (`kLeadLease`), and no more than a
/// dozen candidacies begin in that time at one every `kStateRetry`.
inline constexpr std::size_t kCandidaciesKept = 12;
/// Seconds. Greatest age of the knowledge of cancellations with which the leader starts a task,
/// unless no controller reaches the state store (rule 1). A read index is requested every second
/// (`kProbeInterval`), and one or two of the answers may be slow.
inline constexpr double kTaskStartMaxRecordsAge = 4.0;
/// Bits of a fencing token below the term. They count the fences of one machine.
inline constexpr int kTokenFenceBits = 20;

// --- election: zone delegates ------------------------------------------------------------------
/// Seconds. Life of the state store's lease to which a zone delegate's record is bound.
inline constexpr double kDelegationLease = 4.0;
/// Seconds. Subtracted from that life, so that a zone delegate stops answering heartbeats before
/// its record can have disappeared.
inline constexpr double kDelegationMargin = 0.5;
/// Seconds. Greatest age of the knowledge of cancellations with which a zone delegate answers
/// heartbeats.
inline constexpr double kDelegateMaxRecordsAge = 5.0;
/// Seconds. A machine that returns within this time after it was turned away has found no other
/// controller. Each of the few controllers that it tries costs it a time-out of 4 s and a pause of
/// 1 s.
inline constexpr double kRefusedHeartbeatRetention = 40.0;
/// Seconds. A delegation ends once the leader has been heard again for this long.
inline constexpr double kDelegationEndDelay = 1.5;

// --- controller: work of a node ----------------------------------------------------------------
/// Seconds. Interval of a node's periodic work.
inline constexpr double kTickInterval = 0.25;
/// Seconds. Interval of the leader's decisions. Whatever happens in between is decided together.
inline constexpr double kDecideInterval = 0.05;
/// Seconds. Time for which the state store is asked to hold a watch open.
inline constexpr double kWatchHold = 10.0;
/// Seconds. Pause before the leader opens a watch again. Every watch costs one request of the state
/// store's rate, so changes should come in batches.
inline constexpr double kWatchPauseLeader = 0.02;
/// Seconds. The same pause on other nodes, where changes are less urgent.
inline constexpr double kWatchPauseFollower = 0.1;
/// Seconds. Pause after a request that the state store did not serve.
inline constexpr double kStateRetry = 0.3;
/// Share of the state store's requests that the read indexes of all nodes together may use. One
/// read index serves all polls that wait for it; the rest is for commits, watches and renewals of
/// leases.
inline constexpr double kReadIndexShare = 0.3;
/// Seconds. A node checks at least this often that it reaches the state store.
inline constexpr double kProbeInterval = 1.0;
/// Seconds. A node that has not reached the state store for this long reports that it is not
/// ready, unless the other nodes do not reach it either. Shorter faults are waited out, because
/// the load balancer doubles its pause every time it removes a node.
inline constexpr double kUnreadyAfter = 4.0;
/// Seconds. Pause before the machine types are requested from the cloud again.
inline constexpr double kTypesRetry = 1.0;

// --- controller: messages to other controllers -------------------------------------------------
/// Seconds. Interval of the heartbeats between controllers.
inline constexpr double kPeerHeartbeatInterval = 0.8;
/// Seconds. A controller that was not heard from for this long counts as unreachable.
inline constexpr double kPeerTimeout = 2.6;
/// Seconds. Interval at which forwarded heartbeats of workers and the answers to them are sent.
/// Every packet costs a small machine more than the heartbeat in it, and a worker sends its
/// heartbeats at least half a second apart.
inline constexpr double kForwardInterval = 0.05;
/// Seconds. A worker that returns within this time after it was redirected could not reach the
/// leader. Its heartbeats are then forwarded to the leader.
inline constexpr double kRedirectRetention = 12.0;
/// Seconds. Longest wait for the leader's answer to a forwarded heartbeat. The worker gives up
/// after 4 s (`kHeartbeatReplyTimeout`).
inline constexpr double kForwardTimeout = 3.4;

// --- controller: commands to workers -----------------------------------------------------------
/// Seconds. After a failed command RPC the machine gets its commands with the answers to its
/// heartbeats for this long.
inline constexpr double kCommandRpcBackoff = 6.0;
/// Command RPCs that may be under way at the same time. They compete with the heartbeats for the
/// processor.
inline constexpr std::size_t kCommandRpcsMax = 48;
/// Command RPCs without commands that are begun in each tick after a takeover.
inline constexpr std::size_t kSynchronizationsPerTick = 24;
/// Share of a lease. A machine whose heartbeats arrive, but show no effect of the commands that it
/// was sent this long ago, counts as unresponsive.
inline constexpr double kUnresponsiveShare = 0.7;

// --- controller: failures of tasks -------------------------------------------------------------
/// Jobs. A machine is quarantined when tasks of this many different jobs have failed on it.
inline constexpr int kMachineErrorLimit = 2;
/// Machines. A job is held responsible when its tasks have failed on this many machines.
inline constexpr int kJobErrorMachines = 3;
/// Seconds. First pause before a failed task is tried again.
inline constexpr double kErrorBackoff = 2.0;
/// Seconds. Longest pause before a failed task is tried again.
inline constexpr double kErrorBackoffMax = 60.0;

// --- dispatch: commands for a worker -----------------------------------------------------------
/// Commands. Most commands in one message, which keeps it far below 64 KiB.
inline constexpr std::size_t kMaxCommands = 200;
/// Seconds. A command to stop a task with a grace period is repeated after this time.
inline constexpr double kStopRepeat = 1.0;

// --- api: users' requests ----------------------------------------------------------------------
/// Seconds. Longest time for which a user's request waits for a read index or a commit.
inline constexpr double kUserDeadline = 4.0;
/// Seconds. Longest time for which a poll waits. Users give up after 2 s.
inline constexpr double kPollDeadline = 1.5;
/// Seconds. The time after which users are told to try again.
inline constexpr int kRetryAfter = 1;
/// Requests. Initial value of the self-adjusting limit of requests in progress.
inline constexpr double kInitialRequestLimit = 64;
/// Requests. Smallest value of that limit.
inline constexpr double kMinRequestLimit = 8;
/// Requests. Largest value of that limit.
inline constexpr double kMaxRequestLimit = 400;
/// Seconds. Shorter times of requests are counted as this long, because differences below it do
/// not indicate load.
inline constexpr double kMinMeasuredRequestTime = 0.02;
/// Ratio of a request's recent time to the shortest one. Up to this ratio there is no overload.
inline constexpr double kOverloadTimeRatio = 4.0;
/// Ratio by which the remembered shortest time grows with every measurement, so that it is slowly
/// forgotten.
inline constexpr double kShortestTimeGrowth = 1.002;

// --- placement: queues of tasks ----------------------------------------------------------------
/// Tasks. A list sends out its excess when its anticipated wait z exceeds the mean of its group by
/// the time of this many tasks: the threshold of the paper (section IV-A).
inline constexpr double kThresholdTasks = 10.0;
/// Seconds. Run time that is assumed for a job class while there is no estimate.
inline constexpr double kDefaultTaskTime = 60.0;
/// Weight of a new measurement in moving averages.
inline constexpr double kMovingAverageWeight = 0.2;
/// Seconds. Interval at which the lists are sorted again, because deadlines come closer.
inline constexpr double kReorderInterval = 1.0;
/// Seconds. Completion objective that is assumed for work without one; such work is the last of
/// its priority.
inline constexpr double kDefaultCompletionObjective = 1e6;
/// Weight with which a job's remaining work, in seconds of one task after the other, moves the job
/// back in the lists. If there is not room for all jobs, then more of them meet their objective
/// when the small ones go first.
inline constexpr double kRemainingWorkWeight = 1.0;
/// Seconds. A job that has waited this long without any start becomes the first of its priority,
/// whatever its size. Users expect even the largest jobs to begin within four minutes, and
/// machines may have to be rented and booted before.
inline constexpr double kStarvationThreshold = 150.0;
/// Seconds. Interval at which every machine is reviewed for what changes with time alone.
inline constexpr double kReviewInterval = 1.0;
/// Share of the objective. Work that can no longer meet its objective gets a later one, in steps of
/// this size.
inline constexpr double kTierStep = 0.5;
/// Steps. Largest number of steps by which an objective is put off.
inline constexpr int kMaxTier = 8;
/// Tasks. Most tasks of one job that stand in lists at the same time. A job of 100,000 tasks gets
/// its blocks as they are needed.
inline constexpr std::size_t kWindowTasks = 256;

// --- placement: preemption ---------------------------------------------------------------------
/// Seconds. Pause of a job for which preemption could not make room.
inline constexpr double kPreemptionSearchInterval = 1.0;
/// Searches for room by preemption in one round of decisions; each looks at all machines.
inline constexpr int kPreemptionSearchesPerRound = 4;
/// Seconds. Pause of a task that was stopped to make room for another one. Whatever else goes
/// wrong, tasks then can't preempt each other at the rate of the commits.
inline constexpr double kPreemptPause = 1.0;

// --- placement: gangs --------------------------------------------------------------------------
/// Seconds. Pause between two searches for places for a gang; each looks at all machines with room.
inline constexpr double kGangRetryInterval = 0.25;
/// Seconds. Longest time for which places are kept while lesser work is stopped to make room. Such
/// work takes some seconds to write its checkpoints, and it is reported late that it has ended.
inline constexpr double kGangClaimMax = 15.0;
/// Seconds. A gang that has waited this long keeps the free places that there are, so that smaller
/// work does not take one after the other for ever.
inline constexpr double kGangReserveAfter = 10.0;
/// Seconds. Longest time for which such a gang keeps free places, since they stay unused meanwhile,
/// and the time after which it may keep places again.
inline constexpr double kGangReserveMax = 60.0;
/// Seconds. Machines for a gang are rented in one zone for this long before another zone is tried.
inline constexpr double kGangZoneTimeout = 20.0;
/// Seconds. Pause of a gang's task that a machine refused.
inline constexpr double kGangRefusedPause = 0.5;
/// Seconds. A lost task of a gang is replaced only if the others will wait at least this much
/// longer than the replacement needs to fetch its image: for a commit, a command, and the
/// heartbeats that report the result.
inline constexpr double kGangReplaceMargin = 3.0;
/// Seconds. How much longer than its checkpoint takes a machine must live for a gang to write one,
/// so that the commands can reach all machines.
inline constexpr double kGangCheckpointMargin = 2.0;

// --- autoscaler: provision and terminate -------------------------------------------------------
/// Seconds. Interval of the autoscaler's decisions.
inline constexpr double kAutoscaleInterval = 1.0;
/// Seconds. Interval at which the cloud's machine list is read.
inline constexpr double kListInterval = 5.0;
/// Machines. Most machines of one provision request.
inline constexpr int kMaxMachinesPerProvision = 50;
/// Machines. Most machines of one request to terminate some.
inline constexpr std::size_t kMaxTerminationsPerRequest = 100;
/// Share of the cloud's request rate that provision requests may use. Lists and terminations need
/// the rest.
inline constexpr double kProvisionRateShare = 0.6;
/// Seconds. Terminations are collected for this long, because every request counts against the
/// cloud's rate and one may name up to a hundred machines.
inline constexpr double kTerminationInterval = 1.0;
/// Multiple of `ready_s`. A machine that has not come up after this time is given up. Boots
/// usually take up to 1.5 times `ready_s`.
inline constexpr double kBootTimeoutFactor = 3.0;
/// Leases. A machine that stays unresponsive for this long is terminated.
inline constexpr double kUnresponsiveLeases = 3.0;
/// Seconds. First pause after the cloud had no capacity; it doubles every time.
inline constexpr double kNoCapacityPause = 10.0;
/// Seconds. Longest pause after the cloud had no capacity.
inline constexpr double kNoCapacityPauseMax = 40.0;

// --- autoscaler: size of the fleet -------------------------------------------------------------
/// Seconds. Work that is bound to a zone and has waited this long gets machines in that zone,
/// however many are idle in other zones.
inline constexpr double kZoneMaxWait = 3.0;
/// Seconds. Time over which the arrival rate of flexible work is measured.
inline constexpr double kArrivalRateWindow = 90.0;
/// Seconds. Arrivals in this time after a takeover are not counted, because users then repeat what
/// they could not submit before.
inline constexpr double kArrivalIgnoredAfterTakeover = 10.0;
/// Seconds. The arrival rate is used only after arrivals were counted for this long.
inline constexpr double kArrivalRateMinWindow = 15.0;
/// Machines. Fixed part of the room that is kept free for services, which must start sooner than a
/// machine boots. `kHeadroomShare` adds to it.
inline constexpr double kHeadroomMachines = 0.5;
/// Share of the ordinary work that there is. Part of the room for services that grows with the
/// load.
inline constexpr double kHeadroomShare = 0.1;
/// Boot times. Machines are rented ahead of its arrival for work whose objective leaves less than
/// this beyond its run time. Other work can wait for a machine.
inline constexpr double kUrgentBootTimes = 1.5;
/// Share of the expected change of demand for which machines are rented in advance.
inline constexpr double kForecastShare = 1.0;
/// Share of `ready_s` for which an idle machine is kept. A new machine would be paid for that long
/// before it runs anything. According to measurements a shorter time delays starts and a longer
/// one costs more money (docs/measurements.md).
inline constexpr double kIdleShare = 0.75;
/// Machines. Size of the fleet up to which that share applies. Larger fleets keep idle machines
/// for a shorter time, by the square root of their size, because random changes of demand weigh
/// less in them.
inline constexpr double kIdleShareFleetSize = 30;
/// Smallest factor by which that time is shortened; a rental costs at least 60 s.
inline constexpr double kIdleScaleMin = 0.45;

}  // namespace elmstall::constants
