/// @file
/// The constants of all packages with their units, grouped by the packages that use them. Values
/// that differ between deployments are in the settings file, and values that operators may change
/// are in the properties file, whose defaults are defined here.
#pragma once

#include <cstddef>
#include <cstdint>

namespace elmstall::constants {

// --- wire: limits of the protocols -------------------------------------------------------------
/// Levels. Largest nesting depth of a message; the protocols need four.
inline constexpr std::size_t kMaxDepth = 16;
/// Tasks. Largest number of tasks of one job.
inline constexpr std::uint64_t kMaxTasks = 100'000;
/// Bytes. Longest name in a message: of a machine, a job class, a team or an image.
inline constexpr std::size_t kMaxNameBytes = 200;
/// Bytes. Longest job id.
inline constexpr std::size_t kMaxJobIdBytes = 40;

// --- net: HTTP servers and clients -------------------------------------------------------------
/// Bytes. Largest body that is read from the state store or the cloud. A page has 512 KiB at most,
/// but the reply to a watch has no size limit; this one only guards against a faulty server.
inline constexpr std::size_t kMaxReplyBytes = std::size_t{8} * 1024 * 1024;
/// Bytes. Largest block of header fields that is read from a client.
inline constexpr std::size_t kMaxHeaderBytes = std::size_t{8} * 1024;
/// Seconds. A connection is closed if no data arrives on it for this long in the middle of a
/// request. Users time out after 5 s.
inline constexpr double kRequestReadTimeout = 6.0;
/// Seconds. A keep-alive connection without a request is closed after this time. Users poll every
/// 5 s.
inline constexpr double kIdleTimeout = 60.0;
/// Seconds. Interval of the check for connections that are past their deadline. A timer per
/// connection would have to be set three times in every request.
inline constexpr double kDeadlineCheckInterval = 1.0;

// --- app: limits of the process ----------------------------------------------------------------
/// Bytes. Largest request body that is read, and largest response to workers and users.
inline constexpr std::size_t kMaxBodyBytes = std::size_t{64} * 1024;
/// Share of the socket limit that inbound connections may use. The rest is for command RPCs to
/// workers (`kWorkerSocketShare`), the state store (10 sockets), the cloud (4), the other
/// controllers (5 each) and connections that are being closed.
inline constexpr double kInboundSocketShare = 0.8;
/// Share of the inbound connections up to which connections of workers are kept alive; above it
/// they are closed after each response. There may be more workers than one controller has sockets,
/// and a heartbeat occupies its socket for a few milliseconds only. The remaining sockets are for
/// readiness checks, for users, and for bursts of connecting workers.
inline constexpr double kWorkerKeepAliveShare = 0.7;
/// Share of the socket limit that connections to workers may use.
inline constexpr double kWorkerSocketShare = 0.08;

// --- store: client of the state store ----------------------------------------------------------
/// Connections to the state store for ordinary requests.
inline constexpr std::size_t kStateConnections = 8;
/// Connections to the state store for watches, each of which occupies one for seconds.
inline constexpr std::size_t kWatchConnections = 2;
/// Seconds. Longest wait for a reply of the state store. Users wait 5 s for the response to a
/// submission, which leaves time to read the record back and to retry once.
inline constexpr double kStateTimeout = 1.5;
/// Seconds. Interval at which requests that wait for the rate limit are retried.
inline constexpr double kStateQueueInterval = 0.02;
/// Seconds. Added to the time for which a watch is held open, before it counts as lost.
inline constexpr double kWatchGrace = 2.0;
/// Entries per page that is requested from the state store.
inline constexpr int kStatePage = 1000;
/// Jobs. Number of final states that are cached in memory; older ones are read from the state store
/// on request.
inline constexpr std::size_t kFinalStateCacheSize = 20'000;
/// Jobs. Number of final states reported to users that a controller keeps, to withhold an answer
/// that contradicts one. At about 150 bytes each they take less than 1 MB.
inline constexpr std::size_t kReportedStatesKept = 5'000;
/// Seconds. Interval at which the numbers of answers are logged.
inline constexpr double kAnswerCountsLogInterval = 60;

// --- store: sizes of records -------------------------------------------------------------------
/// Share of a value that is filled with entries. The sizes of entries are estimated by upper
/// bounds; the rest is for the structure around them.
inline constexpr double kValueFillFactor = 0.95;
/// Bytes. Upper bound of the size that the numbers of a job's record add as JSON beyond their
/// shortest form.
inline constexpr std::size_t kJsonNumberSlack = 32;
/// Bytes. Size of a block's record as JSON without its tasks.
inline constexpr std::size_t kBlockOverheadBytes = 80;
/// Bytes. Size of one task in a block's record as JSON.
inline constexpr std::size_t kTaskRecordBytes = 40;
/// Tasks. Largest number of tasks per block. A change of one task writes its whole block.
inline constexpr std::uint32_t kMaxBlockTasks = 32;

// --- clients: cloud and command RPCs -----------------------------------------------------------
/// Seconds. Longest wait for a reply of the cloud.
inline constexpr double kCloudTimeout = 8.0;
/// Entries per page that is requested from the cloud's machine list.
inline constexpr int kCloudPage = 500;
/// Seconds. Longest wait for a worker's reply to a command RPC: well above the slowest round trip
/// between zones, and well below a short lease.
inline constexpr double kCommandRpcTimeout = 2.0;

// --- state: group commit -----------------------------------------------------------------------
/// Bytes. Largest transaction, below the limit of the protocol of 64 KiB.
inline constexpr std::size_t kMaxTransactionBytes = std::size_t{48} * 1024;
/// Seconds. Shortest interval between two commits of the leader. The commits then stay far below
/// the write rate that the state store accepts, which leaves capacity for the writes of users'
/// requests.
inline constexpr double kCommitInterval = 0.12;
/// Seconds. Pause after a commit that the state store refused. It is short because the leader
/// competes with the submissions of all nodes for the same rate, and because the start of every
/// task waits for this commit.
inline constexpr double kCommitRetry = 0.08;
/// Seconds. Pause after the state store rejected a transaction as malformed, whatever its size.
inline constexpr double kCommitRejectedPause = 1.0;
/// Smallest share of the limits to which transactions are reduced while the state store rejects
/// them as too large.
inline constexpr double kCommitScaleMin = 0.25;
/// Transactions. Number of accepted transactions after which a reduced share is doubled again.
inline constexpr int kCommitsBeforeScaleUp = 200;
/// Share of a value of the ledger log that may still be valid when its slot is overwritten; valid
/// entries are copied into the new value. With a third, copying is cheap, and the log, which a
/// takeover must read, has three times the size of the valid entries.
inline constexpr double kMaxLiveSlotShare = 0.33;
/// Slots. Number of slots that the ledger log fills before the first one is overwritten.
inline constexpr std::size_t kInitialSlots = 8;

// --- state: tasks in memory --------------------------------------------------------------------
/// Bytes in a MB of the settings' `memory_mb`.
inline constexpr double kBytesPerMb = 1024.0 * 1024.0;
/// Share of the process's memory that the tasks of a leader may take.
inline constexpr double kTaskMemoryShare = 0.3;
/// Bytes. Upper bound of what a running task takes of a leader's memory: the task itself, its
/// places in queues and indexes, and its record in the mirror.
inline constexpr std::size_t kTaskMemoryBytes = 320;
/// Bytes. Upper bound of what a block takes beside its tasks.
inline constexpr std::size_t kBlockMemoryBytes = 960;
/// Ratio of the task budget to the part of it that is kept for jobs of a single block.
inline constexpr std::size_t kTaskReserveDivisor = 8;
/// Share of the task budget that waiting tasks may use. The rest is for running ones, and for
/// gangs, which are loaded whole.
inline constexpr double kWaitingTasksShare = 0.25;
/// Share of the task budget in use above which a block that found no place is unloaded at once.
inline constexpr double kManyTasksShare = 0.5;

// --- api: memory for unfinished jobs ------------------------------------------------------------
/// Share of the process's memory that unfinished jobs may take without their tasks.
inline constexpr double kJobMemoryShare = 0.3;
/// Share of that memory up to which jobs of priority `idle` are accepted. Critical jobs may use all
/// of it.
inline constexpr double kJobMemoryShareIdle = 0.7;
/// The same for jobs of priority `normal`.
inline constexpr double kJobMemoryShareNormal = 0.8;
/// The same for jobs of priority `high`.
inline constexpr double kJobMemoryShareHigh = 0.9;
/// Bytes. What a leader needs for an unfinished job, without its tasks and its record.
inline constexpr double kJobMemoryBytes = 1000;
/// Bytes. What the record of a job takes in memory for each byte in the state store.
inline constexpr double kJobMemoryPerRecordByte = 1.5;
/// Seconds. Value of `Retry-After` when there is no memory for another job.
inline constexpr int kJobMemoryRetryAfter = 5;

// --- peer: connections between controllers -----------------------------------------------------
/// Bytes. Largest message between controllers.
inline constexpr std::size_t kMaxPeerMessageBytes = std::size_t{256} * 1024;
/// Bytes. Messages between controllers are combined into one write up to this size. A forwarded
/// heartbeat takes some hundred bytes.
inline constexpr std::size_t kPeerWriteBytes = std::size_t{16} * 1024;
/// Bytes. Size of the buffer for one read of messages between controllers.
inline constexpr std::size_t kPeerReadBytes = std::size_t{8} * 1024;

// --- config: time limits of leases, see Settings -----------------------------------------------
/// Seconds. Subtracted from the leader lease W for the timer resolution and for the time it takes
/// to kill a task. Nothing is subtracted for the latency of a reply: a worker's lease begins when
/// it sends the heartbeat, which is before the reply is sent, however late the reply arrives.
inline constexpr double kLeaderLeaseMargin = 1.5;
/// Ratio. Steady clocks run at rates that differ by at most 0.05%; doubled for safety.
inline constexpr double kMaxClockDrift = 0.001;
/// Seconds. Added to every wait for the end of a lease, for the timer resolution.
inline constexpr double kLeaseMargin = 0.5;
/// Seconds. A worker ignores a reply to its heartbeat that arrives later than this.
inline constexpr double kHeartbeatReplyTimeout = 4.0;
/// Seconds. Default of `gang_wait_s` in the settings: how long a gang's task waits on its machine
/// for the other tasks.
inline constexpr double kGangWaitDefault = 30.0;
/// Seconds. Default of `gang_peer_s` in the settings: how soon a gang's task detects the loss of
/// another one.
inline constexpr double kGangPeerDefault = 8.0;

// --- election and controller: leadership -------------------------------------------------------
/// Seconds. Life of the state store's lease to which the leader's record is bound. It is short
/// because the lease of a worker may be 10 s only and the next leader must renew it in time; it is
/// long enough that several renewals may be lost.
inline constexpr double kLeadLease = 3.0;
/// Seconds. Interval at which leases of the state store are renewed and the term is confirmed.
inline constexpr double kRenewInterval = 0.8;
/// Seconds. Followers start an election after a random delay of up to this time.
inline constexpr double kElectionJitter = 0.1;
/// Candidacies that a node keeps track of while it is not elected. The transaction of an abandoned
/// candidacy can be applied only until its lease expires (`kLeadLease`), and no more than a dozen
/// candidacies begin in that time at one every `kStateRetry`.
inline constexpr std::size_t kCandidaciesKept = 12;
/// Seconds. Largest age of the leader's confirmed records at which it starts a task, so that it
/// does not start cancelled ones, unless no controller reaches the state store (rule 1). A read
/// index is requested every second (`kProbeInterval`), and one or two of the replies may be slow.
inline constexpr double kTaskStartMaxRecordsAge = 4.0;
/// Bits of a fencing token below the term, which count the fences of one machine.
inline constexpr int kTokenFenceBits = 20;
/// Fences. A machine with fewer than these left in the term gets no new tasks. They suffice to
/// clear all tasks that it has by then, and for RPCs without a reply until it is empty.
inline constexpr std::uint32_t kFenceReserve = 4096;

// --- election: zone delegates ------------------------------------------------------------------
/// Seconds. Life of the state store's lease to which a zone delegate's record is bound.
inline constexpr double kDelegationLease = 4.0;
/// Seconds. Subtracted from `kDelegationLease`, so that a zone delegate stops answering heartbeats
/// before its record can have been deleted.
inline constexpr double kDelegationMargin = 0.5;
/// Seconds. Largest age of a zone delegate's confirmed records at which it answers heartbeats.
/// Older records may lack cancellations, and the renewed leases would let the cancelled tasks run
/// on.
inline constexpr double kDelegateMaxRecordsAge = 5.0;
/// Seconds. A worker that returns within this time after its heartbeat was refused has not reached
/// any other controller. Each of the few controllers that it tries takes a timeout of 4 s and a
/// pause of 1 s.
inline constexpr double kRefusedHeartbeatRetention = 40.0;
/// Seconds. A delegation ends once the leader has been reachable again for this long.
inline constexpr double kDelegationEndDelay = 1.5;

// --- controller: work of a node ----------------------------------------------------------------
/// Seconds. Interval of a node's periodic work.
inline constexpr double kTickInterval = 0.25;
/// Seconds. Interval of the leader's decisions. All changes in between are processed together.
inline constexpr double kDecideInterval = 0.05;
/// Seconds. How long the state store holds a watch open while nothing changes.
inline constexpr double kWatchHold = 10.0;
/// Seconds. Pause before the leader opens a watch again. Every watch counts as one request against
/// the state store's rate limit, so changes should arrive in batches.
inline constexpr double kWatchPauseLeader = 0.02;
/// Seconds. The same pause on other nodes, where changes are less urgent.
inline constexpr double kWatchPauseFollower = 0.1;
/// Seconds. Pause before a failed request to the state store is retried.
inline constexpr double kStateRetry = 0.3;
/// Share of the state store's requests that the read indexes of all nodes together may use. One
/// read index serves all waiting polls; the rest is for commits, watches and lease renewals.
inline constexpr double kReadIndexShare = 0.3;
/// Seconds. A node checks at least this often that it reaches the state store.
inline constexpr double kProbeInterval = 1.0;
/// Seconds. A node that has not reached the state store for this long reports that it is not ready,
/// unless the other nodes do not reach it either. Shorter outages are tolerated, because the load
/// balancer doubles its pause every time it removes a node.
inline constexpr double kUnreadyAfter = 4.0;
/// Seconds. Pause before the machine types are requested from the cloud again.
inline constexpr double kTypesRetry = 1.0;

// --- controller: messages to other controllers -------------------------------------------------
/// Seconds. Interval of the heartbeats between controllers.
inline constexpr double kPeerHeartbeatInterval = 0.8;
/// Seconds. A controller from which no message has arrived for this long is considered unreachable.
inline constexpr double kPeerTimeout = 2.6;
/// Seconds. Interval at which forwarded heartbeats of workers and the replies to them are sent. On
/// a small machine a packet costs more than the heartbeat in it, and a worker sends its heartbeats
/// at least half a second apart.
inline constexpr double kForwardInterval = 0.05;
/// Seconds. A worker that returns within this time after it was redirected could not reach the
/// leader. Its heartbeats are then forwarded to the leader.
inline constexpr double kRedirectRetention = 12.0;
/// Seconds. Longest wait for the leader's reply to a forwarded heartbeat. The worker times out
/// after 4 s (`kHeartbeatReplyTimeout`).
inline constexpr double kForwardTimeout = 3.4;

// --- controller: commands to workers -----------------------------------------------------------
/// Seconds. For this long after a failed command RPC, the commands for that machine are sent in the
/// replies to its heartbeats.
inline constexpr double kCommandRpcBackoff = 6.0;
/// Command RPCs that may be in flight at the same time. They compete with the heartbeats for the
/// processor.
inline constexpr std::size_t kCommandRpcsMax = 48;
/// Command RPCs without commands that are started in each tick after a takeover.
inline constexpr std::size_t kSynchronizationsPerTick = 24;
/// Share of a lease. A machine whose heartbeats arrive, but show no effect of the commands that it
/// was sent this long ago, is considered unresponsive.
inline constexpr double kUnresponsiveShare = 0.7;

// --- controller: failures of tasks -------------------------------------------------------------
/// Jobs. A machine is quarantined when tasks of this many different jobs have failed on it.
inline constexpr int kMachineErrorLimit = 2;
/// Machines. Failures are attributed to a job when its tasks have failed on this many machines.
inline constexpr int kJobErrorMachines = 3;
/// Seconds. First pause before a failed task is retried.
inline constexpr double kErrorBackoff = 2.0;
/// Seconds. Longest pause before a failed task is retried.
inline constexpr double kErrorBackoffMax = 60.0;

// --- tasks of one machine ----------------------------------------------------------------------
/// Tasks. Largest number of tasks that are placed on one machine, and that its heartbeat may list,
/// exited ones included, when another one is started. A task takes 140 bytes of a heartbeat at
/// most, and no heartbeat may be larger than 64 KiB.
inline constexpr double kMaxTasksPerMachine = 400;
/// Tasks. The same for small tasks alone, so that they leave places for others.
inline constexpr double kMaxSmallTasksPerMachine = 200;
/// Cores. A task is small if it needs less than this, `kSmallTaskGpus` and `kSmallTaskMemory`.
inline constexpr double kSmallTaskCpus = 0.05;
/// GPUs; see `kSmallTaskCpus`.
inline constexpr double kSmallTaskGpus = 0.05;
/// GB of memory; see `kSmallTaskCpus`.
inline constexpr double kSmallTaskMemory = 0.05;

// --- dispatch: commands for a worker -----------------------------------------------------------
/// Commands. Largest number of commands in one message, which keeps it far below 64 KiB.
inline constexpr std::size_t kMaxCommands = 200;
/// Attempts. From this number of exited attempts on, a command RPC clears them although that needs
/// a higher token, before which a heartbeat's reply may be dropped.
inline constexpr std::size_t kMaxPendingClears = 50;
/// Seconds. A command to stop a task with a grace period is repeated after this time.
inline constexpr double kStopRepeat = 1.0;

// --- api: users' requests ----------------------------------------------------------------------
/// Seconds. Longest time for which a user's request waits for a read index or a commit.
inline constexpr double kUserDeadline = 4.0;
/// Seconds. Longest time for which a poll waits. Users time out after 2 s.
inline constexpr double kPollDeadline = 1.5;
/// Seconds. Value of `Retry-After` in responses to users.
inline constexpr int kRetryAfter = 1;
/// Requests. Initial value of the adaptive limit of user requests in progress.
inline constexpr double kInitialRequestLimit = 64;
/// Requests. Smallest value of that limit.
inline constexpr double kMinRequestLimit = 8;
/// Requests. Largest value of that limit.
inline constexpr double kMaxRequestLimit = 400;
/// Seconds. Shorter durations of requests are counted as this long, because differences below it do
/// not indicate load.
inline constexpr double kMinMeasuredRequestTime = 0.02;
/// Ratio of the recent duration of requests to the shortest one, up to which there is no overload.
inline constexpr double kOverloadTimeRatio = 4.0;
/// Ratio by which the recorded shortest duration grows with every request, so that an old one does
/// not persist.
inline constexpr double kShortestTimeGrowth = 1.002;

// --- placement: queues of tasks ----------------------------------------------------------------
/// Tasks. A queue sends its excess to other queues when its anticipated wait z exceeds the mean of
/// its group by the run time of this many tasks: the threshold in section IV-A of the paper by Tang
/// et al. (see sched/balance.hpp).
inline constexpr double kThresholdTasks = 10.0;
/// Seconds. Assumed run time of a job class without an estimate.
inline constexpr double kDefaultTaskTime = 60.0;
/// Weight of a new value in exponential moving averages.
inline constexpr double kMovingAverageWeight = 0.2;
/// Seconds. Interval at which the queues are sorted again, because their order depends on the time
/// left until the deadlines.
inline constexpr double kReorderInterval = 1.0;
/// Seconds. Assumed completion objective of work without one, so large that such work comes last in
/// its priority.
inline constexpr double kDefaultCompletionObjective = 1e6;
/// Weight of a job's remaining work, which is the sum of its tasks' run times in seconds, in the
/// order of the queues: larger jobs come later. When the capacity does not suffice for all jobs,
/// more of them meet their objective if the small ones run first.
inline constexpr double kRemainingWorkWeight = 1.0;
/// Seconds. A job that has waited this long without the start of any task becomes the first of its
/// priority, whatever its size, to prevent starvation. Users expect even the largest jobs to begin
/// within four minutes, and machines may have to be rented and booted before.
inline constexpr double kStarvationThreshold = 150.0;
/// Seconds. Interval at which every machine is checked for conditions that change with time alone.
inline constexpr double kReviewInterval = 1.0;
/// Share of the objective. Work that can no longer meet its objective gets a later one, in steps of
/// this size.
inline constexpr double kTierStep = 0.5;
/// Steps. Largest number of steps by which an objective is postponed.
inline constexpr int kMaxTier = 8;
/// Tasks. Largest number of tasks of one job that are in queues at the same time. Further blocks of
/// a large job, which may have 100,000 tasks, are added as they are needed. There are fewer while
/// the tasks of many jobs wait, see placement/task_windows.hpp.
inline constexpr std::size_t kWindowTasks = 256;

// --- placement: preemption ---------------------------------------------------------------------
/// Seconds. Pause before preemption is tried again for a job that it found no capacity for.
inline constexpr double kPreemptionSearchInterval = 1.0;
/// Searches for tasks to preempt in one round of decisions; each examines all machines.
inline constexpr int kPreemptionSearchesPerRound = 4;
/// Seconds. Pause of a task that was preempted. Even if other safeguards fail, tasks then can't
/// preempt each other at the rate of the commits.
inline constexpr double kPreemptPause = 1.0;

// --- placement: gangs --------------------------------------------------------------------------
/// Seconds. Pause between two searches for places for a gang; each examines all machines with free
/// capacity.
inline constexpr double kGangRetryInterval = 0.25;
/// Seconds. Longest time for which places are reserved while other work is preempted for a
/// gang. That work takes some seconds to write its checkpoints, and its end is reported with
/// a delay.
inline constexpr double kGangClaimMax = 15.0;
/// Seconds. A gang that has waited this long reserves the free places, so that smaller work does
/// not take them one by one and starve the gang.
inline constexpr double kGangReserveAfter = 10.0;
/// Seconds. Longest time for which such a gang reserves free places, since they stay unused
/// meanwhile, and the time after which it may reserve places again.
inline constexpr double kGangReserveMax = 60.0;
/// Seconds. Machines for a gang are rented in one zone for this long before another zone is tried.
inline constexpr double kGangZoneTimeout = 20.0;
/// Seconds. Pause of a gang's task that a machine refused.
inline constexpr double kGangRefusedPause = 0.5;
/// Seconds. A lost task of a gang is replaced only if the others will wait at least this much
/// longer than the replacement needs to fetch its image: for a commit, a command, and the
/// heartbeats that report the result.
inline constexpr double kGangReplaceMargin = 3.0;
/// Seconds. A gang writes a checkpoint only if each of its machines keeps running for at least this
/// much longer than that takes, so that the commands can reach all machines.
inline constexpr double kGangCheckpointMargin = 2.0;

// --- autoscaler: provision and terminate -------------------------------------------------------
/// Seconds. Interval of the autoscaler's decisions.
inline constexpr double kAutoscaleInterval = 1.0;
/// Seconds. Interval at which the cloud's machine list is read.
inline constexpr double kListInterval = 5.0;
/// Machines. Largest number that one plan provides for: the demand of accepted work may exceed what
/// an `int` can hold.
inline constexpr double kMaxMachinesPlanned = 1e6;
/// Machines. Largest number of machines in one provision request.
inline constexpr int kMaxMachinesPerProvision = 50;
/// Machines. Largest number of machines in one termination request.
inline constexpr std::size_t kMaxTerminationsPerRequest = 100;
/// Share of the cloud's request rate that provision requests may use. Lists and terminations need
/// the rest.
inline constexpr double kProvisionRateShare = 0.6;
/// Seconds. Terminations are batched for this long, because every request counts against the
/// cloud's rate limit and one may contain up to a hundred machines.
inline constexpr double kTerminationInterval = 1.0;
/// Seconds. Boot time of a machine type for which the cloud states none.
inline constexpr double kBootTimeDefault = 60.0;
/// Multiple of `ready_s`. A machine that has not booted after this time is terminated. Boots
/// usually take up to 1.5 times `ready_s`.
inline constexpr double kBootTimeoutFactor = 3.0;
/// Leases. A machine that stays unresponsive for this long is terminated.
inline constexpr double kUnresponsiveLeases = 3.0;
/// Seconds. First pause after the cloud had no capacity; it doubles every time.
inline constexpr double kNoCapacityPause = 10.0;
/// Seconds. Longest pause after the cloud had no capacity.
inline constexpr double kNoCapacityPauseMax = 40.0;

// --- autoscaler: size of the fleet -------------------------------------------------------------
/// Seconds. Machines are rented in a zone for work that is bound to it and has waited this long,
/// however many machines are idle in other zones.
inline constexpr double kZoneMaxWait = 3.0;
/// Seconds. Time constant of the moving average of the arrival rate of flexible work.
inline constexpr double kArrivalRateWindow = 90.0;
/// Seconds. Arrivals in this time after a takeover are not counted, because users then retry the
/// submissions that failed before it.
inline constexpr double kArrivalIgnoredAfterTakeover = 10.0;
/// Seconds. The arrival rate is used only after arrivals were counted for this long.
inline constexpr double kArrivalRateMinWindow = 15.0;
/// Machines. Fixed part of the capacity that is kept free for services, which must start faster
/// than a machine boots. `kHeadroomShare` adds to it.
inline constexpr double kHeadroomMachines = 0.5;
/// Share of the present ordinary work. Part of the capacity kept free for services that grows with
/// the load.
inline constexpr double kHeadroomShare = 0.1;
/// Boot times. Work whose objective exceeds its run time by less than this is urgent: machines are
/// rented for it before it arrives. Other work can wait for a machine to boot.
inline constexpr double kUrgentBootTimes = 1.5;
/// Share of the expected change of demand for which machines are rented in advance.
inline constexpr double kForecastShare = 1.0;
/// Share of `ready_s` for which an idle machine is kept. A new machine is paid for during its
/// boot, before it runs anything. A shorter time delays starts, and a longer one costs more money.
inline constexpr double kIdleShare = 0.75;
/// Machines. Size of the fleet up to which `kIdleShare` applies. In larger fleets the time
/// decreases with the square root of the size, because random changes of demand are relatively
/// smaller there.
inline constexpr double kIdleShareFleetSize = 30;
/// Smallest factor by which that time is reduced; a rental costs at least 60 s.
inline constexpr double kIdleScaleMin = 0.45;

}  // namespace elmstall::constants
