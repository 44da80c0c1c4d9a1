"""The rules of the balancer, one in each module; `corkdoor/balancer.py` joins them."""
