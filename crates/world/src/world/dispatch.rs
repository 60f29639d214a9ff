//! Routing of events to their handlers.

use super::World;
use super::event::Event;

impl World<'_> {
    /// Handles an event at its time.
    pub(super) fn handle(&mut self, event: Event) {
        match event {
            Event::ClientArrives => self.client_arrives(),
            Event::ClosedClientSubmits { client } => self.closed_client_submits(client),
            Event::RequestAtNode { attempt } => self.request_at_node(attempt),
            Event::ResponseAtClient { attempt, outcome } => self.response_at_client(attempt, outcome),
            Event::ClientGivesUp { attempt, reason } => self.client_gives_up(attempt, reason),
            Event::ClientRetries { request } => self.start_attempt(request, 0),
            Event::NodeInput { node, incarnation, input } => self.give_input(node, incarnation, input),
            Event::NodeResumes { node, incarnation } => self.node_resumes(node, incarnation),
            Event::NodeTimer { node, incarnation, at } => self.node_timer(node, incarnation, at),
            Event::NodeStarts { node } => self.node_starts(node),
            Event::NodeStops { node } => self.node_stops(node),
            Event::NodeKilled { node, incarnation } => self.node_killed(node, incarnation),
            Event::HealthChecked { node } => self.check_health(node),
            Event::RecordPersisted { node, incarnation, record, ticket } => {
                self.record_persisted(node, incarnation, record, ticket);
            }
            Event::ConnectAtExecutor { connection } => self.connect_at_executor(connection),
            Event::ConnectedAtNode { connection } => self.connected_at_node(connection),
            Event::DisconnectedAtNode { connection, disconnect } => {
                self.disconnected_at_node(connection, disconnect)
            }
            Event::ClosedAtExecutor { connection } => self.closed_at_executor(connection),
            Event::JobAtExecutor { connection, attempt } => self.job_at_executor(connection, attempt),
            Event::ProbeAtExecutor { connection } => self.probe_at_executor(connection),
            Event::ProbeReplyAtNode { connection, outcome, report } => {
                self.probe_reply_at_node(connection, outcome, report);
            }
            Event::ReplyAtNode { connection, attempt, outcome, report } => {
                self.reply_at_node(connection, attempt, outcome, report);
            }
            Event::ProgressAtNode { connection, attempt } => self.progress_at_node(connection, attempt),
            Event::ProgressDue { executor, incarnation, connection, attempt } => {
                self.progress_due(executor, incarnation, connection, attempt);
            }
            Event::ExecutorWakes { executor, wake_number } => self.executor_wakes(executor, wake_number),
            Event::ExecutorDrains { executor } => self.executor_drains(executor),
            Event::ExecutorLeaves { executor } => self.executor_leaves(executor),
            Event::ExecutorJoins { kind_index, zone } => self.executor_joins(kind_index, zone),
            Event::DiscoveryPublishes { executor, health, started } => {
                self.discovery_publishes(executor, health, started);
            }
            Event::ListRequested { node, incarnation } => self.list_requested(node, incarnation),
            Event::FaultChanges { fault, phase } => self.fault_changes(fault, phase),
            Event::FaultToggles { fault, executor, on } => self.fault_toggles(fault, executor, on),
            Event::FloodConnects { fault, node } => self.flood_connects(fault, node),
            Event::Sweep => self.sweep(),
        }
    }
}
