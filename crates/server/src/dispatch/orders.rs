//! Orders that bring a target to the current bundle.
//!
//! They belong to the dispatcher because only the lease holder of a target may send them.
//! They are a module of their own because they share only the target's status with the
//! dispatch of batch items.

use std::sync::Arc;
use std::time::Instant;

use notchwharf_clients::target::Action;
use notchwharf_clients::target::ModelVersion;
use notchwharf_clients::target::Order;
use notchwharf_membership::fact;
use notchwharf_placement::plan;
use notchwharf_placement::reconcile;
use notchwharf_placement::reconcile::Step;
use notchwharf_placement::reconcile::TargetState;

use super::Dispatcher;
use crate::bundle::model_version_of;
use crate::metrics::Counted;

impl Dispatcher {
    /// Sends the next order that brings the target to the current bundle.
    pub(super) fn reconcile(&self) {
        let Some(status) = &self.status else {
            return;
        };
        let Some(active) = self.shared.active() else {
            return;
        };
        if Instant::now() < self.orders_from || status.leaving {
            return;
        }
        let mut wanted: Vec<ModelVersion> = Vec::new();
        {
            let view = self.shared.view();
            let mut engines: Vec<&str> = view.engines().iter().map(|l| l.name.as_str()).collect();
            engines.sort_unstable();
            let plan = plan::plan(&active.bundle.servings, &engines);
            let assigned = plan.get(self.target.as_str()).into_iter().flatten();
            wanted.extend(assigned.map(|s| model_version_of(s)));
        }
        let names = |all: &[ModelVersion]| {
            all.iter()
                .map(ModelVersion::fingerprint)
                .collect::<Vec<_>>()
        };
        let target_state = TargetState {
            loaded: names(&status.holds),
            loading: names(&status.loading),
        };
        let others = |fingerprint: &str| self.count_others_holding(fingerprint);
        let step = reconcile::next_step(&names(&wanted), &target_state, others, |f| {
            active.has_fingerprint(f)
        });
        let action = match step {
            None => return,
            Some(Step::Load(f)) => {
                let found = wanted.into_iter().find(|v| v.fingerprint() == f);
                found.map(Action::Load)
            }
            Some(Step::Unload(f)) => {
                let found = status.holds.iter().find(|v| v.fingerprint() == f);
                found.cloned().map(Action::Unload)
            }
        };
        if let Some(action) = action {
            self.order(action);
        }
    }

    fn count_others_holding(&self, fingerprint: &str) -> usize {
        let view = self.shared.view();
        let has_loaded = |(id, t): &(&String, &fact::Target)| {
            **id != self.target
                && !t.leaving
                && t.answers
                && t.holds.iter().any(|f| f == fingerprint)
        };
        view.targets.iter().filter(has_loaded).count()
    }

    fn order(&self, action: Action) {
        let Some(url) = self.shared.target_url(&self.target) else {
            return;
        };
        let order = Order {
            fence: self.epoch,
            action,
        };
        let shared = Arc::clone(&self.shared);
        tokio::spawn(async move {
            let res = shared.targets.order(&url, &order).await;
            let outcome = if res.is_ok() {
                "taken"
            } else {
                "refused or lost"
            };
            shared.metrics.count(Counted::Orders, outcome);
        });
    }
}
