//! Whether a team may run a request now.

use std::time::Duration;

use cuminramp_core::{Name, Refusal, ResultCode};
use cuminramp_quota::{
    Admission, BorrowPlan, Lender, LoanAnswer, LoanRequest, Millitokens, TOKEN, TeamLimits,
};
use cuminramp_routes::{Charge, Team};
use cuminramp_settings::QuotaPolicy;
use cuminramp_wire::peer::{BorrowReply, BorrowRequest, Handover};
use tokio::time::Instant;

use crate::state::{DaemonState, lock};

/// Tokens a request is charged that names no limit of its own.
const DEFAULT_MAX_TOKENS: u64 = 16;

/// When to come back to hosts that have just started.
const START_WAIT: Duration = Duration::from_secs(1);

/// What a request of `team` costs.
pub(crate) fn request_cost(team: &Team, max_tokens: Option<u64>) -> Millitokens {
    match team.charge {
        Charge::Requests => TOKEN,
        Charge::Tokens => max_tokens.unwrap_or(DEFAULT_MAX_TOKENS).max(1) * TOKEN,
    }
}

/// Admits a request or says why not and when to come back.
pub(crate) async fn admit_request(
    state: &std::sync::Arc<DaemonState>,
    team: &Team,
    cost: Millitokens,
) -> Result<(), Refusal> {
    let limits = TeamLimits::from_tokens(team.rate, team.burst);
    match decide(state, &team.name, limits, cost, false) {
        Admission::Admitted(ahead) => {
            if let Some(plan) = ahead {
                let (state, name) = (state.clone(), team.name.clone());
                state.tasks.clone().spawn(async move { borrow(&state, &name, &plan).await });
            }
            Ok(())
        }
        Admission::Refused(wait) => Err(rate_refusal(state, team, wait)),
        Admission::Borrow(plan) => {
            borrow(state, &team.name, &plan).await;
            match decide(state, &team.name, limits, cost, true) {
                Admission::Admitted(_) => Ok(()),
                Admission::Refused(wait) => Err(rate_refusal(state, team, wait)),
                Admission::Borrow(_) => Err(rate_refusal(state, team, Duration::from_secs(1))),
            }
        }
    }
}

fn decide(
    state: &DaemonState,
    team: &Name,
    limits: TeamLimits,
    cost: Millitokens,
    borrowed: bool,
) -> Admission {
    let now = Instant::now();
    if state.settings.quota.policy == QuotaPolicy::StaticSplit {
        let hosts = lock(&state.members).usable_hosts().len() as u64;
        return lock(&state.split).admit(team, limits, cost, hosts, now);
    }
    lock(&state.ledger).admit(team, limits, cost, borrowed, now)
}

fn rate_refusal(state: &DaemonState, team: &Team, wait: Duration) -> Refusal {
    log::info!(team = &*team.name, decision = "refused", wait_ms = wait.as_millis() as u64; "rate");
    let limits = TeamLimits::from_tokens(team.rate, team.burst);
    let ledger = lock(&state.ledger);
    let (doubtful, has_owner) = (ledger.is_unreliable(), ledger.has_owner(&team.name, limits));
    drop(ledger);
    if !has_owner {
        let message =
            "no host owns a part of the team's rate yet, as when all hosts have just started";
        let refusal = Refusal::not_run(ResultCode::ConfigurationUnknown, message);
        return refusal.with_retry_after(START_WAIT);
    }
    // A host that doubts what it owns refuses for its own sake, not for the team's.
    if doubtful {
        let message = "this host can't tell what is left of the team's rate";
        return Refusal::not_run(ResultCode::KeysUnconfirmed, message).with_retry_after(wait);
    }
    let message = format!("team {} is above its rate of {} a second", team.name, team.rate);
    Refusal::not_run(ResultCode::RateExceeded, message).with_retry_after(wait)
}

/// Asks owners one after the other until the plan's amount is there.
async fn borrow(state: &DaemonState, team: &Name, plan: &BorrowPlan) {
    let mut missing = plan.missing;
    let mut ahead = plan.ahead;
    for lender in &plan.lenders {
        let Some(got) = ask_lender(state, team, lender, missing + ahead).await else {
            continue;
        };
        let for_request = got.min(missing);
        missing -= for_request;
        ahead = ahead.saturating_sub(got - for_request);
        if missing == 0 {
            return;
        }
    }
}

async fn ask_lender(
    state: &DaemonState,
    team: &Name,
    lender: &Lender,
    amount: Millitokens,
) -> Option<Millitokens> {
    let asked_at = Instant::now();
    let request = BorrowRequest {
        team: team.to_string(),
        shard: lender.shard,
        requester: state.me.id.address.to_string(),
        requester_incarnation: state.me.id.incarnation,
        grant: state.next_number(),
        millitokens: amount,
    };
    state.metrics.count_peer_call("borrow");
    let reply = state.peers.borrow(&lender.owner, request).await;
    let now = Instant::now();
    let Some(reply) = reply else {
        lock(&state.ledger).mark_silent(team, lender, now);
        return None;
    };
    state.metrics.count_borrow(reply.millitokens > 0);
    let answer = LoanAnswer {
        amount: reply.millitokens,
        is_owner: reply.owner,
        left: reply.left_millitokens,
        valid: Duration::from_millis(reply.valid_ms.into()),
        wait: Duration::from_millis(reply.wait_ms.into()),
    };
    lock(&state.ledger).credit(team, lender, answer, asked_at, now);
    Some(answer.amount)
}

/// Answers another host that asks for tokens.
pub(crate) fn lend_tokens(state: &DaemonState, request: &BorrowRequest) -> BorrowReply {
    let in_force = state.configuration.in_force();
    let Some(team) = in_force.configuration.teams.get(request.team.as_str()) else {
        return BorrowReply::default();
    };
    let limits = TeamLimits::from_tokens(team.rate, team.burst);
    let loan =
        LoanRequest { team: team.name.clone(), shard: request.shard, amount: request.millitokens };
    let answer = lock(&state.ledger).lend(&loan, limits, Instant::now());
    BorrowReply {
        millitokens: answer.amount,
        owner: answer.is_owner,
        left_millitokens: answer.left,
        wait_ms: answer.wait.as_millis() as u32,
        valid_ms: answer.valid.as_millis() as u32,
    }
}

/// Takes the tokens of a shard that this host owns now.
pub(crate) fn take_tokens(state: &DaemonState, handover: &Handover) {
    let in_force = state.configuration.in_force();
    let limits_of = |name: &str| {
        let team = in_force.configuration.teams.get(name)?;
        Some((team.name.clone(), TeamLimits::from_tokens(team.rate, team.burst)))
    };
    lock(&state.ledger).take_handover(handover, limits_of, Instant::now());
}
