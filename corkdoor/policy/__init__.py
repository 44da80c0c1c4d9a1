"""The rules of the balancer, one in each module; `rules.py` makes them and `corkdoor/balancer.py` joins them.

None of them does I/O. Times are microseconds on the host's clock; latencies are shares of the latency
objective of their request class. In the order in which a request meets them:

- Admission: `admission`, with `token_buckets`, `priorities`, `client_timeouts`, `latency_ratio`,
  `capacity_shortage` and `rejections`.
- Waiting for capacity: `request_queue`, `concurrency_limit`.
- Where it goes: `routing`, with `placement`, `endpoint_pool` (subsets), `zone_spillover`, `endpoint_choice`
  and `availability`, which joins `slow_start`, `outlier_ejection`, `overload` and `unresponsive`.
- Its connection: `idle_connections`.
- More attempts: `hedging`, `retries`, `retry_safety`.
- What is learned of an outcome: `outcome_feedback`, with `peer_latency` and `service_times`.

The state that rules share: `request` and `request_state`, `endpoint_state` and `endpoint_table`,
`placement_table`. Calls to discovery are decided on in `discovery`.
"""
