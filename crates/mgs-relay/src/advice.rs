//! What endpoints say of themselves in their answers.

use http::response;
use mgs_backpressure::table::Life;
use mgs_backpressure::table::News;

use crate::core::Core;
use crate::dialect::Ask;
use crate::view::Endpoint;

impl Core {
    /// Takes what an answer says of its endpoint.
    pub(crate) fn hear_advice(&self, endpoint: &Endpoint, ask: &Ask, head: &response::Parts) {
        let advice = self.dialect.advice(ask, head);
        let life = Life(endpoint.facts.incarnation.hash_64());
        let news = self.backpressure.borrow_mut().hear(life, advice);
        if let Some(news) = news {
            self.note_news(endpoint, ask, news);
        }
    }

    fn note_news(&self, endpoint: &Endpoint, ask: &Ask, news: News) {
        self.metrics.advice.inc(news.name());
        let limit_per_s = match news {
            News::Limited(per_s) => per_s,
            _ => 0.0,
        };
        log::info!(
            endpoint = endpoint.facts.incarnation.id,
            request_id = ask.request_id,
            news = news.name(),
            limit_per_s = limit_per_s;
            "an endpoint says of itself"
        );
    }
}
