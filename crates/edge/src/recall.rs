//! The resource through which other gateways query the outcome of operations that this gateway has claimed.

use crate::operations::OperationTable;
use nickeljunction_messages::RecallCall;
use nickeljunction_net::desk::{Answering, Call, Resource, Response};
use nickeljunction_net::wheel::Wheel;
use std::cell::RefCell;
use std::rc::Rc;

/// Answers [`RecallCall`]s from the gateway's table of operations.
pub struct RecallResource {
    wheel: Wheel,
    operations: Rc<RefCell<OperationTable>>,
}

impl RecallResource {
    /// A resource that answers from this table.
    pub fn new(wheel: Wheel, operations: Rc<RefCell<OperationTable>>) -> RecallResource {
        RecallResource { wheel, operations }
    }
}

impl Resource for RecallResource {
    fn handle<'a>(&'a self, call: Call) -> Answering<'a> {
        Box::pin(async move {
            let Ok(call) = serde_json::from_slice::<RecallCall>(&call.body) else {
                return Response::error(
                    400,
                    "wanted is a call that names an operation, a claim and a request",
                );
            };
            let answer = self.operations.borrow_mut().recall(self.wheel.now(), &call);
            match serde_json::to_vec(&answer) {
                Ok(body) => Response::json(200, body),
                Err(_) => Response::error(500, "the answer can't be written"),
            }
        })
    }
}
