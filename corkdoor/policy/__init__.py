"""The rules of the balancer, one per module.

`rules.py` creates the rules, and `corkdoor/balancer.py` calls them. None of them does I/O. Times are
microseconds on the host's clock; latencies are shares of the latency objective of their request class. In the
order in which they apply to a request:

- Admission: `admission`, with `token_buckets`, `priorities`, `client_timeouts`, `latency_ratio`,
  `capacity_shortage` and `rejections`.
- Waiting for capacity: `request_queue`, `concurrency_limit`.
- Choosing an endpoint: `routing`, with `placement`, `endpoint_pool` (subsets), `zone_spillover`,
  `endpoint_choice` and `availability`, which combines `slow_start`, `outlier_ejection`, `overload` and
  `unresponsive`.
- Choosing a connection: `idle_connections`.
- Further attempts: `hedging`, `retries`, `retry_safety`.
- Recording an outcome: `outcome_feedback`, with `peer_latency` and `service_times`.

The rules share the state in `request` and `request_state`, `endpoint_state` and `endpoint_table`,
`placement_table`. The subpackage `discovery` decides on calls to discovery.
"""
