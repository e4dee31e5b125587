"""Stand-in for the object store."""

import bottle

from nutmegdeal.fakes.memory import MemoryObjects
from nutmegdeal.fakes.server import error_response, json_response
from nutmegdeal.fakes.table import StoreStandIn

LIST_NAMES_MAX = 1000


class ObjectsStandIn(StoreStandIn):
    """Object store that keeps its objects in a MemoryObjects."""

    def __init__(self, clock):
        super().__init__(clock)
        self.objects = MemoryObjects()
        self.app.route("/objects/<name:path>", "PUT", self.put)
        self.app.route("/objects/<name:path>", "GET", self.get)
        self.app.route("/objects", "GET", self.list_names)

    def put(self, name):
        """Store an object."""
        refusal = self.refuse_call(is_write=True)
        if refusal:
            return refusal
        self.objects.put(name, bottle.request.body.read())
        return self.respond_to_write(json_response({}))

    def get(self, name):
        """Send the bytes of an object."""
        refusal = self.refuse_call()
        if refusal:
            return refusal
        body = self.objects.get(name)
        if body is None:
            return error_response(404, "not_found", f"no object {name!r}")
        headers = {"Content-Type": "application/octet-stream"}
        return bottle.HTTPResponse(body, 200, headers)

    def list_names(self):
        """Send object names in sorted order."""
        refusal = self.refuse_call()
        if refusal:
            return refusal
        query = bottle.request.query
        limit = min(int(query.get("limit") or LIST_NAMES_MAX), LIST_NAMES_MAX)
        names = self.objects.list_names(query.prefix, query.after, limit)
        return json_response({"names": names})
