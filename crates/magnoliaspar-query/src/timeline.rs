//! The answers to the queries `timeline` and `why`, built from a time line of events.

use std::time::Duration;

use magnoliaspar_event::{Event, EventFilter, EventKind, GapCause, Plan, Stamp, Timeline};

use crate::{Answer, AnswerGap, Cell, Literal, Operator, Query, Subject};

impl Query {
    /// Returns the filter that instances apply to their events.
    ///
    /// It only narrows the events; the conditions of the query still apply to the answer.
    pub fn event_filter(&self, now: Stamp) -> EventFilter {
        let mut filter = EventFilter::default();
        if let Some(since) = self.since {
            filter.since = Some(stamp_before(now, since));
        }
        if let Subject::Why(request) = &self.subject {
            filter.request = Some(request.clone());
        }
        for condition in &self.conditions {
            let (Operator::Equal, Literal::Text(text)) = (condition.operator, &condition.value)
            else {
                continue;
            };
            if &*condition.field == "request" {
                filter.request = (&**text).try_into().ok();
            }
        }
        filter
    }
}

impl Answer {
    /// Creates the answer to the query `timeline`.
    pub fn of_timeline(timeline: &Timeline) -> Self {
        let mut answer = Self::new(&Subject::Timeline);
        for event in timeline.events() {
            let request = event.request.as_ref().map(|request| request.as_str());
            let server = event.server.as_ref().map(|server| server.as_str());
            answer.push([
                Cell::text(event.stamp.to_string()),
                event.instance.as_str().into(),
                request.into(),
                server.into(),
                Cell::text(kind_name(&event.kind)),
                Cell::text(event.kind.to_string()),
            ]);
        }
        answer.push_gaps(timeline);
        answer
    }

    /// Creates the answer to the query `why`: the decisions for a request, their inputs and the
    /// events that followed.
    pub fn of_why(timeline: &Timeline, subject: &Subject) -> Self {
        let mut answer = Self::new(subject);
        for event in timeline.events() {
            answer.push(why_row(event));
        }
        answer.push_gaps(timeline);
        answer
    }

    fn push_gaps(&mut self, timeline: &Timeline) {
        for gap in timeline.gaps() {
            if gap.cause == GapCause::NotStarted {
                continue;
            }
            let cause = gap.cause.to_string().into();
            self.gaps.push(AnswerGap { instance: gap.instance.clone(), cause });
        }
    }
}

fn why_row(event: &Event) -> Box<[Cell]> {
    let time = Cell::text(event.stamp.to_string());
    let instance = event.instance.as_str().into();
    let step = Cell::text(kind_name(&event.kind));
    let EventKind::Planned(plan) = &event.kind else {
        let decision = Cell::text(event.kind.to_string());
        return [time, instance, step, decision, Cell::Empty, Cell::Empty].into();
    };
    let decision = format!("prefill on {}, decode on {}", plan.prefill_server, plan.decode_server);
    let rejected = plan.rejected.iter().map(|rejected| rejected.to_string().into()).collect();
    let inputs = Cell::text(format_inputs(plan));
    [time, instance, step, Cell::text(decision), inputs, Cell::List(rejected)].into()
}

fn format_inputs(plan: &Plan) -> String {
    let Plan { cached_tokens, uncached_tokens, ttft_ms, queue_ms, prefill_ms, .. } = plan;
    let Plan { transfer_ms, slack_ms, report_age_ms, .. } = plan;
    let Plan { wasted_prefill_weight, goodput_weight, .. } = plan;
    format!(
        "cached {cached_tokens}, to prefill {uncached_tokens}; TTFT {ttft_ms} ms = queue \
         {queue_ms} + prefill {prefill_ms} + transfer {transfer_ms}; slack {slack_ms} ms; report \
         {report_age_ms} ms old; weights {wasted_prefill_weight}/{goodput_weight}"
    )
}

/// Returns the name of a kind of event, as used in JSON.
fn kind_name(kind: &EventKind) -> Box<str> {
    let value = serde_json::to_value(kind).unwrap_or_default();
    value["kind"].as_str().unwrap_or_default().into()
}

fn stamp_before(now: Stamp, span: Duration) -> Stamp {
    let millis = u64::try_from(span.as_millis()).unwrap_or(u64::MAX);
    Stamp(now.millis().saturating_sub(millis) << 16)
}
