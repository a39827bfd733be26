//! What the scheduler decides, one behaviour a test.

mod common;

use std::time::Duration;

use magnoliaspar_core::{JobKey, WorkspaceName};
use magnoliaspar_policy::{
    Action, Decision, FailedStage, Job, LoadReport, Policy, RefuseReason, RejectReason, Role,
    SchedulerSettings, Urgency, WaitReason, Weights,
};

use self::common::{Bench, job, job_on, prefill_of, spec, transfer_of};

const MILLISECOND: Duration = Duration::from_millis(1);

fn refusal_of(actions: &[Action], of: JobKey) -> Option<RefuseReason> {
    for action in actions {
        if let Action::Refuse { job, reason, .. } = action
            && *job == of
        {
            return Some(*reason);
        }
    }
    None
}

/// Returns a pool whose decode engine has `slots`, all of them taken by running jobs.
fn full_pool(slots: u32) -> (Bench, Vec<JobKey>) {
    let mut bench = Bench::new(2, 0);
    let mut decode = spec(Role::Decode, "d", "a");
    decode.slots = slots;
    bench.add(decode);
    let mut running = Vec::new();
    for _ in 0..slots {
        running.push(bench.run_to_decode(job(bench.now)).0);
    }
    (bench, running)
}

#[test]
fn a_prefill_starts_only_against_a_slot_that_falls_free_in_time() {
    let (mut bench, running) = full_pool(1);
    let mut waiting = job(bench.now);
    waiting.ttft_target = Duration::from_secs(60);
    let waiting = bench.submit(waiting);
    assert_eq!(prefill_of(&bench.poll(), waiting), None);
    let explanation = bench.scheduler.explain(waiting).unwrap();
    assert_eq!(explanation.decision, Decision::Wait(WaitReason::Decode));
    // The running job is expected to have 54 tokens at 20 ms each. A prefill that starts now is done
    // after 200 ms and held for 800 ms, of which 50 ms are for the transfer and 240 ms are margin.
    bench.pass(200);
    bench.scheduler.progressed(bench.now, running[0], 16);
    assert_eq!(prefill_of(&bench.poll(), waiting), None);
    bench.pass(200);
    bench.scheduler.progressed(bench.now, running[0], 24);
    assert!(prefill_of(&bench.poll(), waiting).is_some());
    // The transfer starts only when the slot is really free.
    bench.pass(200);
    bench.prefilled(waiting);
    assert_eq!(bench.poll(), []);
    bench.scheduler.finished(bench.now, running[0]);
    assert!(transfer_of(&bench.poll(), waiting).is_some());
}

#[test]
fn two_decisions_do_not_take_the_same_slot() {
    let mut bench = Bench::new(4, 0);
    let mut decode = spec(Role::Decode, "d", "a");
    decode.slots = 2;
    let decode = bench.add(decode);
    // The report is older than the grants, and says that the engine is empty.
    let made_at = bench.now;
    for _ in 0..4 {
        bench.submit(job(bench.now));
    }
    let granted = bench.poll().len();
    bench.pass(1);
    let report = LoadReport { made_at, running: 0, waiting: 0, used_pieces: 0, queued_tokens: 0 };
    bench.scheduler.report(bench.now, decode, report);
    let more = bench.poll().len();
    assert_eq!((granted, more), (2, 0));
    assert_eq!(bench.scheduler.usage(decode).unwrap().reserved, 2);
}

#[test]
fn jobs_of_others_that_a_report_shows_take_slots() {
    let mut bench = Bench::new(1, 1);
    let first = bench.submit(job(bench.now));
    let actions = bench.poll();
    let Some(Action::Prefill { decode: Some(decode), .. }) = actions.first().cloned() else {
        panic!("{actions:?}");
    };
    bench.scheduler.cancelled(bench.now, first);
    bench.pass(1);
    let made_at = bench.now;
    let report =
        LoadReport { made_at, running: 20, waiting: 0, used_pieces: 500, queued_tokens: 0 };
    bench.scheduler.report(bench.now, decode, report);
    let second = bench.submit(job(bench.now));
    assert_eq!(prefill_of(&bench.poll(), second), None);
    bench.pass(100);
    let report = LoadReport { made_at: bench.now, running: 3, ..report };
    bench.scheduler.report(bench.now, decode, report);
    assert!(prefill_of(&bench.poll(), second).is_some());
}

#[test]
fn a_document_goes_where_it_was_read() {
    let mut bench = Bench::new(4, 2);
    let (first, holder, _) = bench.run_to_decode(job_on(bench.now, 1, 60));
    bench.scheduler.finished(bench.now, first);
    for _ in 0..3 {
        let again = bench.submit(job_on(bench.now, 1, 60));
        assert_eq!(prefill_of(&bench.poll(), again), Some(holder));
        bench.pass(50);
        bench.scheduler.cancelled(bench.now, again);
    }
    let explained = bench.submit(job_on(bench.now, 1, 60));
    bench.poll();
    let explanation = bench.scheduler.explain(explained).unwrap();
    assert_eq!(explanation.inputs.cached_tokens, 60 * 64);
    assert_eq!(explanation.inputs.uncached_tokens, 10);
    let costs_more =
        |rejected: &magnoliaspar_policy::Rejected| rejected.reason == RejectReason::CostsMore;
    assert!(explanation.rejected.iter().any(costs_more), "{explanation:?}");
}

#[test]
fn a_hot_document_is_read_again_once_the_queue_costs_more() {
    let mut bench = Bench::new(2, 2);
    let (first, holder, _) = bench.run_to_decode(job_on(bench.now, 1, 10));
    bench.scheduler.finished(bench.now, first);
    // A long prompt keeps the holder busy for about 500 ms.
    let mut long = job_on(bench.now, 1, 10);
    long.prompt_tokens = 5_640;
    let long = bench.submit(long);
    assert_eq!(prefill_of(&bench.poll(), long), Some(holder));
    // Reading 650 tokens elsewhere takes 65 ms.
    let short = bench.submit(job_on(bench.now, 1, 10));
    let other = prefill_of(&bench.poll(), short).unwrap();
    assert_ne!(other, holder);
}

#[test]
fn the_own_zone_is_preferred_and_others_take_the_rest() {
    let settings =
        SchedulerSettings { zone: Some("a".try_into().unwrap()), ..SchedulerSettings::default() };
    let mut bench = Bench::with_settings(1, 1, settings);
    let near = bench.add(spec(Role::Prefill, "p0", "a"));
    let far = bench.add(spec(Role::Prefill, "p9", "b"));
    let first = bench.submit(job(bench.now));
    assert_eq!(prefill_of(&bench.poll(), first), Some(near));
    let second = bench.submit(job(bench.now));
    assert_eq!(prefill_of(&bench.poll(), second), Some(far));
    // A server in another zone that no longer reports gets nothing.
    bench.pass(300);
    bench.prefilled(second);
    bench.poll();
    let made_at = bench.now;
    let report = LoadReport { made_at, running: 0, waiting: 0, used_pieces: 0, queued_tokens: 0 };
    bench.scheduler.report(bench.now, far, report);
    bench.pass(10_000);
    bench.scheduler.cancelled(bench.now, first);
    let third = bench.submit(job(bench.now));
    assert_eq!(prefill_of(&bench.poll(), third), Some(near));
    let fourth = bench.submit(job(bench.now));
    assert_eq!(prefill_of(&bench.poll(), fourth), None);
}

#[test]
fn a_job_that_cannot_meet_its_target_is_refused_early_or_put_behind() {
    let mut bench = Bench::new(1, 1);
    // Reading 12,000 tokens takes 1.2 s, more than the target of 1 s.
    let hopeless = Job { prompt_tokens: 12_000, ..job(bench.now) };
    let refused = bench.submit(hopeless.clone());
    assert_eq!(refusal_of(&bench.poll(), refused), Some(RefuseReason::TargetMissed));
    let behind = bench.submit(Job { urgency: Urgency::Deferrable, ..hopeless });
    assert!(prefill_of(&bench.poll(), behind).is_some());
}

#[test]
fn a_waiting_job_is_refused_before_its_target_passes() {
    let (mut bench, _) = full_pool(1);
    let accepted_at = bench.now;
    let waiting = bench.submit(job(bench.now));
    assert_eq!(refusal_of(&bench.poll(), waiting), None);
    let at = bench.scheduler.next_poll().unwrap();
    assert!(at > bench.now);
    for _ in 0..1_000 {
        bench.pass(1);
        if let Some(reason) = refusal_of(&bench.poll(), waiting) {
            assert_eq!(reason, RefuseReason::TargetMissed);
            // 200 ms to read, 50 ms to transfer and two steps of 20 ms are left by then.
            let waited = bench.now - accepted_at;
            assert!(waited > 600 * MILLISECOND && waited <= 711 * MILLISECOND, "{waited:?}");
            return;
        }
    }
    panic!("the job was not refused");
}

#[test]
fn a_deadline_of_the_caller_is_respected() {
    let mut bench = Bench::new(1, 1);
    // The answer takes 200 ms to read, 50 ms to transfer and 50 steps of 20 ms.
    let deadline = Some(bench.now + 1_200 * MILLISECOND);
    let refused = bench.submit(Job { deadline, urgency: Urgency::Deferrable, ..job(bench.now) });
    assert_eq!(refusal_of(&bench.poll(), refused), Some(RefuseReason::DeadlineMissed));
    let deadline = Some(bench.now + 1_500 * MILLISECOND);
    let taken = bench.submit(Job { deadline, ..job(bench.now) });
    assert!(prefill_of(&bench.poll(), taken).is_some());
}

#[test]
fn a_full_queue_takes_its_room_from_the_workspace_that_fills_it() {
    let settings = SchedulerSettings { max_waiting: 4, ..SchedulerSettings::default() };
    let mut bench = Bench::with_settings(0, 0, settings);
    let mut greedy = Vec::new();
    for _ in 0..4 {
        greedy.push(bench.submit(job(bench.now)));
    }
    let too_many = bench.submit(job(bench.now));
    assert_eq!(refusal_of(&bench.poll(), too_many), Some(RefuseReason::QueueFull));
    let workspace = WorkspaceName::try_from("small").unwrap();
    let small = bench.submit(Job { workspace, ..job(bench.now) });
    let actions = bench.poll();
    assert_eq!(refusal_of(&actions, small), None);
    assert_eq!(refusal_of(&actions, greedy[3]), Some(RefuseReason::QueueFull));
}

#[test]
fn weights_change_how_early_a_refusal_comes() {
    let refused_after = |weights: Weights| {
        let (mut bench, _) = full_pool(1);
        let accepted_at = bench.now;
        let waiting = bench.submit(Job { weights, ..job(bench.now) });
        while refusal_of(&bench.poll(), waiting).is_none() {
            bench.pass(1);
            assert!(bench.now < accepted_at + Duration::from_secs(2));
        }
        bench.now - accepted_at
    };
    let careful = refused_after(Weights { wasted_prefill: 0.9, goodput: 0.1 });
    let eager = refused_after(Weights { wasted_prefill: 0.1, goodput: 0.9 });
    assert!(careful < eager, "{careful:?} {eager:?}");
}

#[test]
fn weights_change_how_early_a_prefill_is_spent_on_a_slot_that_is_not_free() {
    let started_after = |weights: Weights| {
        let (mut bench, running) = full_pool(1);
        let start = bench.now;
        let patient = Duration::from_secs(60);
        let waiting = bench.submit(Job { weights, ttft_target: patient, ..job(bench.now) });
        for tokens in 1..60 {
            bench.pass(20);
            bench.scheduler.progressed(bench.now, running[0], tokens);
            if prefill_of(&bench.poll(), waiting).is_some() {
                return bench.now - start;
            }
        }
        panic!("the job was not started");
    };
    let careful = started_after(Weights { wasted_prefill: 0.9, goodput: 0.1 });
    let eager = started_after(Weights { wasted_prefill: 0.1, goodput: 0.9 });
    assert!(careful > eager, "{careful:?} {eager:?}");
}

#[test]
fn held_kv_cache_is_used_again_when_a_decode_engine_is_lost() {
    let mut bench = Bench::new(1, 2);
    let (job, prefill, lost) = bench.run_to_decode(job(bench.now));
    bench.scheduler.progressed(bench.now, job, 3);
    bench.scheduler.remove_server(bench.now, lost);
    let held_until = Some(bench.now + 500 * MILLISECOND);
    bench.scheduler.failed(bench.now, job, FailedStage::Decode, held_until);
    let (from, to) = transfer_of(&bench.poll(), job).unwrap();
    assert_eq!(from, prefill);
    assert_ne!(to, lost);
}

#[test]
fn a_lost_answer_is_read_again_when_its_kv_cache_expires_too_soon() {
    let mut bench = Bench::new(1, 2);
    let (job, prefill, lost) = bench.run_to_decode(job(bench.now));
    bench.scheduler.progressed(bench.now, job, 3);
    // The transfer takes 50 ms.
    let held_until = Some(bench.now + 40 * MILLISECOND);
    bench.scheduler.failed(bench.now, job, FailedStage::Decode, held_until);
    let actions = bench.poll();
    assert_eq!(prefill_of(&actions, job), Some(prefill));
    let Action::Prefill { decode, .. } = actions[0] else { panic!("{actions:?}") };
    assert_ne!(decode, Some(lost));
}

#[test]
fn a_lost_prefill_is_tried_again_elsewhere_and_only_so_often() {
    let mut bench = Bench::new(4, 1);
    let job = bench.submit(Job { ttft_target: Duration::from_secs(60), ..job(bench.now) });
    let mut before = None;
    for _ in 0..4 {
        let server = prefill_of(&bench.poll(), job).unwrap();
        assert_ne!(Some(server), before);
        before = Some(server);
        bench.pass(10);
        bench.scheduler.failed(bench.now, job, FailedStage::Prefill, None);
        // A failure that is told twice counts once.
        bench.scheduler.failed(bench.now, job, FailedStage::Prefill, None);
    }
    assert_eq!(refusal_of(&bench.poll(), job), Some(RefuseReason::RetriesExhausted));
}

#[test]
fn retries_come_from_a_budget_of_the_pool() {
    let settings = SchedulerSettings { retry_budget: 2, ..SchedulerSettings::default() };
    let mut bench = Bench::with_settings(4, 1, settings);
    let mut refused = 0;
    for _ in 0..5 {
        let patient = Duration::from_secs(60);
        let job = bench.submit(Job { ttft_target: patient, ..job(bench.now) });
        assert!(prefill_of(&bench.poll(), job).is_some());
        bench.scheduler.failed(bench.now, job, FailedStage::Prefill, None);
        let actions = bench.poll();
        refused += u32::from(refusal_of(&actions, job) == Some(RefuseReason::RetriesExhausted));
        bench.scheduler.cancelled(bench.now, job);
        bench.pass(20_000);
    }
    assert_eq!(refused, 3);
}

#[test]
fn a_started_answer_is_never_refused() {
    let mut bench = Bench::new(2, 2);
    let (job, ..) = bench.run_to_decode(job(bench.now));
    bench.scheduler.progressed(bench.now, job, 5);
    for _ in 0..20 {
        bench.scheduler.failed(bench.now, job, FailedStage::Decode, None);
        for _ in 0..2_000 {
            let actions = bench.poll();
            assert_eq!(refusal_of(&actions, job), None);
            if prefill_of(&actions, job).is_some() {
                break;
            }
            bench.pass(10);
        }
        bench.pass(200);
        bench.prefilled(job);
        bench.pass(5_000);
    }
    bench.scheduler.cancelled(bench.now, job);
    assert_eq!(bench.scheduler.jobs(), 0);
}

#[test]
fn a_refused_admission_costs_nothing_and_is_remembered() {
    let mut bench = Bench::new(1, 2);
    let job = bench.submit(job(bench.now));
    bench.poll();
    bench.pass(200);
    bench.prefilled(job);
    let (_, full) = transfer_of(&bench.poll(), job).unwrap();
    let held_until = Some(bench.now + 700 * MILLISECOND);
    bench.scheduler.failed(bench.now, job, FailedStage::Admission, held_until);
    let (_, other) = transfer_of(&bench.poll(), job).unwrap();
    assert_ne!(other, full);
    // The other one refuses, too, and neither is asked again at once.
    bench.scheduler.failed(bench.now, job, FailedStage::Admission, held_until);
    assert_eq!(bench.poll(), []);
    bench.pass(510);
    assert!(transfer_of(&bench.poll(), job).is_some());
}

#[test]
fn cancelling_frees_everything_in_any_state() {
    for steps in 0..5 {
        let mut bench = Bench::new(1, 1);
        let job = bench.submit(job(bench.now));
        let mut servers = Vec::new();
        if steps >= 1 {
            let actions = bench.poll();
            let Action::Prefill { server, decode, .. } = actions[0] else { panic!() };
            servers = vec![server, decode.unwrap()];
        }
        if steps >= 2 {
            bench.prefilled(job);
        }
        if steps >= 3 {
            bench.poll();
        }
        if steps >= 4 {
            bench.scheduler.transferred(bench.now, job);
        }
        bench.scheduler.cancelled(bench.now, job);
        assert_eq!(bench.poll(), []);
        assert_eq!((bench.scheduler.jobs(), bench.scheduler.waiting()), (0, 0));
        for server in servers {
            let usage = bench.scheduler.usage(server).unwrap();
            assert_eq!(usage, Default::default(), "after {steps} steps");
        }
    }
}

#[test]
fn transfers_on_one_link_go_one_after_the_other_by_due_time() {
    let mut bench = Bench::new(2, 1);
    let (first, second) = (bench.submit(job(bench.now)), bench.submit(job(bench.now)));
    assert_eq!(bench.poll().len(), 2);
    bench.pass(200);
    let late = bench.now + 800 * MILLISECOND;
    bench.scheduler.prefilled(bench.now, first, 0, late);
    bench.scheduler.prefilled(bench.now, second, 0, late - 200 * MILLISECOND);
    // Both want the link of the only decode engine.
    let actions = bench.poll();
    assert!(transfer_of(&actions, second).is_some());
    assert_eq!(transfer_of(&actions, first), None);
    bench.pass(50);
    bench.scheduler.transferred(bench.now, second);
    assert!(transfer_of(&bench.poll(), first).is_some());
}

#[test]
fn a_sealed_server_loses_the_reservations_that_have_not_started() {
    let mut bench = Bench::new(1, 2);
    let waiting = bench.submit(job(bench.now));
    let actions = bench.poll();
    let Action::Prefill { decode: Some(sealed), .. } = actions[0] else { panic!("{actions:?}") };
    bench.scheduler.cordon_server(bench.now, sealed);
    assert_eq!(bench.scheduler.usage(sealed).unwrap().reserved, 0);
    bench.pass(200);
    bench.prefilled(waiting);
    let (_, decode) = transfer_of(&bench.poll(), waiting).unwrap();
    assert_ne!(decode, sealed);
    // The same specification does not open the server again.
    bench.add(spec(Role::Decode, "d0", "a"));
    bench.add(spec(Role::Decode, "d1", "a"));
    assert!(bench.scheduler.usage(sealed).unwrap().is_sealed);
}

#[test]
fn suspects_run_one_at_a_time_and_apart_from_others() {
    let mut bench = Bench::new(2, 2);
    let (innocent, _, shared) = bench.run_to_decode(job(bench.now));
    let suspect = |bench: &Bench| Job { is_suspect: true, ..job(bench.now) };
    let first = bench.submit(suspect(&bench));
    let second = bench.submit(suspect(&bench));
    let actions = bench.poll();
    let Some(Action::Prefill { server, decode: Some(decode), .. }) = actions.first().cloned()
    else {
        panic!("{actions:?}");
    };
    assert_eq!(actions.len(), 1);
    assert_ne!(decode, shared);
    // Others keep away while the suspect runs.
    for _ in 0..3 {
        let other = bench.submit(job(bench.now));
        let actions = bench.poll();
        assert!(prefill_of(&actions, other).is_none_or(|other| other != server));
        bench.scheduler.cancelled(bench.now, other);
    }
    bench.pass(200);
    bench.prefilled(first);
    assert!(transfer_of(&bench.poll(), first).is_some());
    bench.scheduler.transferred(bench.now, first);
    assert_eq!(prefill_of(&bench.poll(), second), None);
    bench.scheduler.finished(bench.now, first);
    assert_eq!(prefill_of(&bench.poll(), second), Some(server));
    bench.scheduler.finished(bench.now, second);
    bench.scheduler.finished(bench.now, innocent);
    assert_eq!(bench.scheduler.jobs(), 0);
}

#[test]
fn a_suspect_that_fails_runs_again_and_does_not_block_the_next() {
    let mut bench = Bench::new(2, 2);
    let suspect = Job { is_suspect: true, ..job(bench.now) };
    let (first, ..) = bench.run_to_decode(suspect.clone());
    bench.scheduler.progressed(bench.now, first, 3);
    let second = bench.submit(suspect);
    assert_eq!(bench.poll(), []);
    bench.scheduler.failed(bench.now, first, FailedStage::Decode, None);
    bench.pass(10_000);
    let actions = bench.poll();
    assert!(prefill_of(&actions, first).is_some(), "{actions:?}");
    assert_eq!(prefill_of(&actions, second), None);
    bench.scheduler.finished(bench.now, first);
    assert!(prefill_of(&bench.poll(), second).is_some());
}

#[test]
fn a_key_of_a_job_that_is_gone_is_ignored() {
    let mut bench = Bench::new(1, 1);
    let (job, ..) = bench.run_to_decode(job(bench.now));
    bench.scheduler.finished(bench.now, job);
    bench.scheduler.finished(bench.now, job);
    bench.scheduler.progressed(bench.now, job, 9);
    bench.scheduler.failed(bench.now, job, FailedStage::Decode, None);
    bench.prefilled(job);
    assert_eq!(bench.poll(), []);
    assert!(matches!(bench.scheduler.explain(job).unwrap().decision, Decision::Transfer { .. }));
}

#[test]
fn a_long_queue_costs_no_polls_while_nothing_can_change() {
    let (mut bench, _) = full_pool(1);
    let patient = Duration::from_secs(3_600);
    for _ in 0..1_000 {
        bench.submit(Job { ttft_target: patient, ..job(bench.now) });
    }
    bench.poll();
    let mut polls = 0;
    let end = bench.now + Duration::from_secs(1);
    while let Some(at) = bench.scheduler.next_poll() {
        if at >= end {
            break;
        }
        assert!(at > bench.now);
        bench.now = at;
        bench.poll();
        polls += 1;
    }
    assert!(polls <= 60, "{polls}");
}
