#!/bin/sh
# Two of three gateways are killed at once with bookings under way; clients ask again. TROUBLE=0: none is killed. See claim.txt.
cd "$(dirname "$0")/../.." || exit 2
exec bin/review-standin herd-twice review/1
