//! Admission of requests by their team's rate and burst.

use std::time::Duration;

use cuminramp_core::{Name, Refusal, ResultCode};
use cuminramp_quota::{
    Admission, BorrowPlan, Lender, LoanRequest, LoanResponse, Millitokens, TOKEN, TeamLimits,
};
use cuminramp_routes::{Charge, Team};
use cuminramp_settings::QuotaPolicy;
use cuminramp_wire::peer::{BorrowReply, BorrowRequest, Handover};
use tokio::time::Instant;

use crate::state::{DaemonState, lock};

/// Tokens charged for a request that sets no token limit.
const DEFAULT_MAX_TOKENS: u64 = 16;

/// Retry-After of a refusal while no host owns a share of the team's rate.
const NO_OWNER_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Returns the cost of a request of `team`.
pub(crate) fn request_cost(team: &Team, max_tokens: Option<u64>) -> Millitokens {
    match team.charge {
        Charge::Requests => TOKEN,
        Charge::Tokens => max_tokens.unwrap_or(DEFAULT_MAX_TOKENS).max(1) * TOKEN,
    }
}

/// Admits a request, or refuses it with the reason and a Retry-After.
///
/// If this host has too few tokens for the request, it first tries to borrow them from other hosts.
pub(crate) async fn admit_request(
    state: &std::sync::Arc<DaemonState>,
    team: &Team,
    cost: Millitokens,
) -> Result<(), Refusal> {
    let limits = TeamLimits::from_tokens(team.rate, team.burst);
    match decide_admission(state, &team.name, limits, cost, false) {
        Admission::Admitted(prefetch_plan) => {
            if let Some(plan) = prefetch_plan {
                let (state, name) = (state.clone(), team.name.clone());
                state.tasks.clone().spawn(async move { borrow(&state, &name, &plan).await });
            }
            Ok(())
        }
        Admission::Refused(wait) => Err(rate_refusal(state, team, wait)),
        Admission::Borrow(plan) => {
            borrow(state, &team.name, &plan).await;
            match decide_admission(state, &team.name, limits, cost, true) {
                Admission::Admitted(_) => Ok(()),
                Admission::Refused(wait) => Err(rate_refusal(state, team, wait)),
                Admission::Borrow(_) => Err(rate_refusal(state, team, Duration::from_secs(1))),
            }
        }
    }
}

fn decide_admission(
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
    let (is_unreliable, has_owner) = (ledger.is_unreliable(), ledger.has_owner(&team.name, limits));
    drop(ledger);
    if !has_owner {
        let message =
            "no host owns a share of the team's rate yet, as when all hosts have just started";
        let refusal = Refusal::not_run(ResultCode::ConfigurationUnknown, message);
        return refusal.with_retry_after(NO_OWNER_RETRY_AFTER);
    }
    // This host can't confirm what it owns and spends nothing. The team may still be below its rate, so
    // the code must not be RateExceeded.
    if is_unreliable {
        let message = "this host can't determine what is left of the team's rate";
        return Refusal::not_run(ResultCode::KeysUnconfirmed, message).with_retry_after(wait);
    }
    let message = format!("team {} is above its rate of {} per second", team.name, team.rate);
    Refusal::not_run(ResultCode::RateExceeded, message).with_retry_after(wait)
}

/// Borrows tokens from the plan's lenders, one after the other, until the amount missing for the
/// request is there.
async fn borrow(state: &DaemonState, team: &Name, plan: &BorrowPlan) {
    let mut missing = plan.missing;
    let mut prefetch = plan.prefetch;
    for lender in &plan.lenders {
        let Some(lent) = request_loan(state, team, lender, missing + prefetch).await else {
            continue;
        };
        let for_request = lent.min(missing);
        missing -= for_request;
        prefetch = prefetch.saturating_sub(lent - for_request);
        if missing == 0 {
            return;
        }
    }
}

/// Requests tokens from one lender and credits them; `None` if the lender did not answer.
async fn request_loan(
    state: &DaemonState,
    team: &Name,
    lender: &Lender,
    amount: Millitokens,
) -> Option<Millitokens> {
    let requested_at = Instant::now();
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
    let response = LoanResponse {
        amount: reply.millitokens,
        is_owner: reply.owner,
        remaining: reply.left_millitokens,
        validity: Duration::from_millis(reply.valid_ms.into()),
        retry_after: Duration::from_millis(reply.wait_ms.into()),
    };
    lock(&state.ledger).credit(team, lender, response, requested_at, now);
    Some(response.amount)
}

/// Answers another host's request to borrow tokens. Tokens of an unknown team are not lent.
pub(crate) fn lend_tokens(state: &DaemonState, request: &BorrowRequest) -> BorrowReply {
    let in_force = state.configuration.in_force();
    let Some(team) = in_force.configuration.teams.get(request.team.as_str()) else {
        return BorrowReply::default();
    };
    let limits = TeamLimits::from_tokens(team.rate, team.burst);
    let loan =
        LoanRequest { team: team.name.clone(), shard: request.shard, amount: request.millitokens };
    let response = lock(&state.ledger).lend(&loan, limits, Instant::now());
    BorrowReply {
        millitokens: response.amount,
        owner: response.is_owner,
        left_millitokens: response.remaining,
        wait_ms: response.retry_after.as_millis() as u32,
        valid_ms: response.validity.as_millis() as u32,
    }
}

/// Applies the handover of a shard's tokens from its previous owner.
pub(crate) fn apply_handover(state: &DaemonState, handover: &Handover) {
    let in_force = state.configuration.in_force();
    let limits_of = |name: &str| {
        let team = in_force.configuration.teams.get(name)?;
        Some((team.name.clone(), TeamLimits::from_tokens(team.rate, team.burst)))
    };
    lock(&state.ledger).accept_handover(handover, limits_of, Instant::now());
}
