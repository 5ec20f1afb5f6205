"""Links between processes of the system, and who is there.

Websockets with their messages and proofs belong here, the ends of a link at entry and sidecar,
hints between entries, leases of entries, and which sidecars an entry uses.
"""

from carobspool_node.links._codec import decode_frame, encode_frame
from carobspool_node.links._connections import Connections
from carobspool_node.links._entry_links import EntryLinks
from carobspool_node.links._fleet import Fleet
from carobspool_node.links._handshake import Identity, LinkServer, listen
from carobspool_node.links._hints import HintExchange
from carobspool_node.links._link import TRAFFIC, Link, send_quietly
from carobspool_node.links._members import Members, watch_members
from carobspool_node.links._node_lease import NodeIdentity, NodeLeaseKeeper, keep_node_lease
from carobspool_node.links._peer_keys import PeerKeys, load_peer_keys
from carobspool_node.links._sidecar_peer import SidecarPeer

__all__ = [
    "Connections",
    "EntryLinks",
    "Fleet",
    "HintExchange",
    "Identity",
    "Link",
    "LinkServer",
    "Members",
    "NodeIdentity",
    "NodeLeaseKeeper",
    "PeerKeys",
    "SidecarPeer",
    "TRAFFIC",
    "decode_frame",
    "encode_frame",
    "keep_node_lease",
    "listen",
    "load_peer_keys",
    "send_quietly",
    "watch_members",
]
